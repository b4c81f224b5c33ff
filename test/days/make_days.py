"""Writes days of our own for the users' bench from the lists below: kinds of disruption that the
sites' days do not hold, several at once, and the same twice. One TOML file a day and site, in the
folder given; traffic is that of the site's first scale day.

usage: make_days.py SITE_FILE FOLDER
"""
import pathlib
import re
import sys

DAYS = {
    "others-1": dict(
        plan=['{ at = 2.0, kind = "version_bump", count = 0 }',
              '{ at = 6.0, kind = "scale_out", share = 0.3, gap_s = 4.0 }',
              '{ at = 9.0, kind = "hup", share = 1.0, gap_s = 4.0 }',
              '{ at = 20.0, kind = "config_change", how = "route" }'],
        faults=['{ at = 3.0, kind = "srv_slow", share = 0.25, x = 4.0, for_s = 6.0 }',
                '{ at = 12.0, kind = "replace_with_reuse", share = 0.2 }',
                '{ at = 18.0, kind = "reset_conns", share = 0.5, x = 0.5 }',
                '{ at = 24.0, kind = "node_slow", share = 0.3, x = 5.0, for_s = 5.0 }']),
    "others-2": dict(
        plan=['{ at = 2.0, kind = "version_bump", count = 0 }',
              '{ at = 8.0, kind = "version_bump", count = 0 }',
              '{ at = 15.0, kind = "revoke", count = 2, gap_s = 1.0 }'],
        faults=['{ at = 4.0, kind = "srv_cut", share = 0.3, for_s = 5.0, how = "fronts", x = 0.5 }',
                '{ at = 10.0, kind = "srv_cut", share = 0.2, for_s = 4.0, how = "one_way" }',
                '{ at = 14.0, kind = "replace_with_reuse", share = 0.2, how = "dark" }',
                '{ at = 22.0, kind = "after_ack_kill", count = 2 }',
                '{ at = 27.0, kind = "reset_conns", share = 1.0, x = 1.0 }']),
    "leader-frozen": dict(
        plan=['{ at = 2.0, kind = "version_bump", count = 0 }',
              '{ at = 10.0, kind = "version_bump", count = 0 }',
              '{ at = 18.0, kind = "version_bump", count = 0 }'],
        faults=['{ at = 4.5, kind = "node_freeze", on = "core", count = 1, how = "leader", for_s = 4.0 }',
                '{ at = 12.5, kind = "core_cut", count = 1, how = "giver", for_s = 4.0 }',
                '{ at = 20.0, kind = "node_kill", on = "core", count = 1, how = "leader", for_s = 3.0 }',
                '{ at = 21.5, kind = "node_freeze", on = "core", count = 1, how = "leader", for_s = 2.0 }']),
    "leader-twice": dict(
        plan=['{ at = 2.0, kind = "version_bump", count = 0 }',
              '{ at = 12.0, kind = "version_bump", count = 0 }'],
        faults=['{ at = 4.0, kind = "node_kill", on = "core", count = 1, how = "leader", for_s = 2.0 }',
                '{ at = 5.6, kind = "node_kill", on = "core", count = 1, how = "leader", for_s = 2.0 }',
                '{ at = 14.0, kind = "core_cut", count = 1, how = "leader all", for_s = 3.0 }',
                '{ at = 15.5, kind = "core_cut", count = 1, how = "leader", for_s = 3.0 }']),
    "revoke-frozen": dict(
        plan=['{ at = 5.0, kind = "revoke", count = 2, gap_s = 0.5 }',
              '{ at = 16.0, kind = "revoke", count = 2, gap_s = 0.5 }',
              '{ at = 24.0, kind = "revoke", count = 1 }'],
        faults=['{ at = 4.8, kind = "node_freeze", share = 0.4, for_s = 6.0 }',
                '{ at = 15.8, kind = "core_cut", count = 3, for_s = 7.0 }',
                '{ at = 23.0, kind = "node_cut", share = 0.3, for_s = 6.0 }',
                '{ at = 24.0, kind = "platform_slow", x = 60.0, for_s = 4.0 }']),
    "weights-store-down": dict(
        plan=['{ at = 2.0, kind = "version_bump", count = 0 }',
              '{ at = 12.0, kind = "version_bump", count = 0 }',
              '{ at = 20.0, kind = "version_bump", count = 0 }'],
        faults=['{ at = 3.0, kind = "platform_down", for_s = 4.0, how = "silent" }',
                '{ at = 12.5, kind = "platform_lost", x = 0.5, for_s = 5.0, how = "late" }',
                '{ at = 20.5, kind = "platform_slow", x = 80.0, for_s = 4.0 }',
                '{ at = 20.0, kind = "applied_late", how = "orders", x = 0.6, for_s = 6.0 }']),
    "herd-big-config": dict(
        closing='{ kind = "power_off_all", down_s = 1.5, how = "all" }',
        plan=['{ at = 5.0, kind = "big_config", count = 400 }',
              '{ at = 15.0, kind = "config_storm", for_s = 4.0, gap_s = 0.3 }',
              '{ at = 20.0, kind = "revoke", count = 2, gap_s = 0.5 }'],
        faults=['{ at = 5.05, kind = "herd_kill", share = 0.6, for_s = 1.5 }',
                '{ at = 16.0, kind = "herd_kill", share = 0.6, for_s = 2.0, how = "power" }',
                '{ at = 16.0, kind = "platform_compact", x = 5.0, for_s = 8.0 }',
                '{ at = 32.5, kind = "platform_down", for_s = 5.0, how = "busy" }']),
    "grey-and-garble": dict(
        plan=['{ at = 2.0, kind = "version_bump", count = 0 }',
              '{ at = 8.0, kind = "scale_in", share = 0.2, how = "spot" }',
              '{ at = 18.0, kind = "release", share = 0.4, x = 2.0, gap_s = 1.0 }'],
        faults=['{ at = 3.0, kind = "srv_grey", share = 0.25, x = 0.6, how = "hang", for_s = 6.0 }',
                '{ at = 10.0, kind = "srv_grey", share = 0.25, x = 0.6, how = "mute", for_s = 6.0 }',
                '{ at = 12.0, kind = "garble", share = 0.6, x = 0.05, how = "early", for_s = 6.0 }',
                '{ at = 18.0, kind = "garble", share = 0.6, x = 0.05, how = "extra late", for_s = 6.0 }',
                '{ at = 20.0, kind = "srv_grey", share = 0.25, x = 0.6, how = "slow", for_s = 6.0 }',
                '{ at = 26.0, kind = "srv_grey", share = 0.3, x = 0.7, how = "reset", for_s = 5.0 }']),
    "store-refuses-some": dict(
        plan=['{ at = 3.0, kind = "version_bump", count = 0 }',
              '{ at = 5.0, kind = "config_change", how = "route" }',
              '{ at = 13.0, kind = "version_bump", count = 0 }',
              '{ at = 15.0, kind = "revoke", count = 2, gap_s = 1.0 }',
              '{ at = 24.0, kind = "version_bump", count = 0 }',
              '{ at = 25.0, kind = "config_change", how = "topup" }'],
        faults=['{ at = 2.0, kind = "platform_down", how = "nodes busy leader", share = 0.5, for_s = 8.0 }',
                '{ at = 12.0, kind = "platform_down", how = "nodes many leader revoke", share = 0.5, for_s = 9.0 }',
                '{ at = 23.0, kind = "platform_down", how = "nodes leader", share = 0.5, for_s = 9.0 }']),
    "store-drops-most": dict(
        plan=['{ at = 3.0, kind = "version_bump", count = 0 }',
              '{ at = 12.0, kind = "version_bump", count = 0 }',
              '{ at = 14.0, kind = "config_storm", for_s = 4.0, gap_s = 0.3 }'],
        faults=['{ at = 1.0, kind = "platform_down", how = "nodes reset leader", share = 0.8, for_s = 9.0 }',
                '{ at = 11.0, kind = "platform_down", how = "nodes leader", share = 0.8, for_s = 12.0 }',
                '{ at = 16.0, kind = "node_kill", on = "core", count = 1, how = "leader", for_s = 2.0 }']),
    "clocks-and-losses": dict(
        plan=['{ at = 2.0, kind = "version_bump", count = 0 }',
              '{ at = 10.0, kind = "roll_term", share = 1.0, gap_s = 1.5, how = "busy" }',
              '{ at = 25.0, kind = "revoke", count = 1 }'],
        faults=['{ at = 3.0, kind = "clock_step", share = 0.6, x = 8000.0, for_s = 8.0, how = "ahead" }',
                '{ at = 12.0, kind = "clock_step", share = 0.6, x = 8000.0, for_s = 8.0, how = "back" }',
                '{ at = 14.0, kind = "lossy", x = 0.05, for_s = 8.0 }',
                '{ at = 23.0, kind = "events_gap", share = 1.0, for_s = 5.0 }',
                '{ at = 24.0, kind = "kv_slow", share = 0.5, x = 20.0, for_s = 6.0 }']),
}


def traffic_of(site_text):
    day = site_text.split('name = "scale-1"')[1].split("[[day]]")[0]
    return re.search(r"traffic = \[.*?\n\]", day, re.S).group(0)


def main():
    site = pathlib.Path(sys.argv[1])
    folder = pathlib.Path(sys.argv[2])
    folder.mkdir(parents=True, exist_ok=True)
    traffic = traffic_of(site.read_text())
    for number, (name, day) in enumerate(DAYS.items()):
        lines = [f'name = "{name}"', 'slot = "trouble"', f"seed = {71000 + number}"]
        if "closing" in day:
            lines.append(f"closing = {day['closing']}")
        lines += ["one = 0.6", "zero = 0.2", "goal = { floor = 0.3 }", "labels = []"]
        lines += ["plan = [", *[f"  {entry}," for entry in day["plan"]], "]"]
        lines += ["faults = [", *[f"  {entry}," for entry in day["faults"]], "]", traffic]
        (folder / f"{name}.toml").write_text("[[day]]\n" + "\n".join(lines) + "\n")


if __name__ == "__main__":
    main()
