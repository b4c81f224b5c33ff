"""Starts a small deployment and leaves it running until Ctrl-C."""
import pathlib
import signal
import sys

import cluster


def main():
    build = pathlib.Path(sys.argv[1]).resolve()
    with cluster.Cluster(build) as deployment:
        tenant = "pamba"
        node = deployment.nodes[0]
        print(f"""
Running: {len(deployment.nodes)} nodes, {len(deployment.engines)} engines. Send a request:

  curl -N {node.url}/v1/completions -H 'Authorization: Bearer {cluster.tenant_key(tenant)}' \\
    -d '{{"model":"village-alerts","prompt":"the water rises","max_tokens":8,"stream":true}}'

Look and edit as an operator:

  export FERNMOOR_KEY={cluster.OPERATOR_KEY}
  {build}/fernmoorctl --node={node.url} nodes
  {build}/fernmoorctl --node={node.url} table get village-alerts {tenant}
  {build}/fernmoorctl --node={node.url} table set village-alerts {tenant} priority=1

Stop everything with Ctrl-C.""", flush=True)
        signal.sigwait({signal.SIGINT, signal.SIGTERM})


if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT, signal.SIGTERM})
    main()
