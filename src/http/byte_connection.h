/// @file
/// One TCP connection that carries HTTP messages, for both sides: headers are read and written by
/// Poco, bodies by the caller of this class, byte by byte as they came.
#pragma once

#include <Poco/Net/HTTPSession.h>
#include <Poco/Net/StreamSocket.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "common/socket_address.h"
#include "common/time.h"

namespace fernmoor {

/// How a wait for bytes ended.
enum class WaitOutcome {
  kReadable,     ///< The connection has bytes, or its end.
  kOtherClosed,  ///< The other connection was closed by its peer.
  kTimeout,      ///< Neither within the time.
};

/// How a read ended.
enum class ReadOutcome {
  kBytes,  ///< Some bytes were read.
  kEnd,    ///< The peer closed its side in order.
  kBroken  ///< Reset, timed out or failed: what was read so far is not known to be whole.
};

/// How a write that does not block ended.
enum class WriteOutcome {
  kWritten,  ///< Some bytes were taken.
  kFull,     ///< The system has no room for more at present.
  kBroken,   ///< The connection failed. What has arrived can still be read.
};

/// Bytes that wait until the peer of a connection takes them.
class PendingOutput {
 public:
  virtual ~PendingOutput() = default;
  /// Writes what the connection accepts, without blocking. @return false if it is broken.
  virtual bool flush() = 0;
};

/// Not thread-safe. Closes its socket when it is destroyed.
///
/// The system reports a reset once, to whichever call comes first; later reads return what had
/// arrived and then a plain end. All reads and writes therefore go through this class: after one
/// has failed, the end of the connection is kBroken, as it does not prove that a message is whole.
class ByteConnection : public Poco::Net::HTTPSession {
 public:
  explicit ByteConnection(const Poco::Net::StreamSocket& socket);
  ~ByteConnection() override = default;

  /// Bounds each blocking read and write.
  void setIoTimeout(Duration timeout);

  /// Bounds the time for which reads wait, all together: later ones end as kBroken unless bytes are
  /// there. Without it a peer that sends a byte now and then can keep a reader for ever.
  /// @param time from now; nothing: no such bound.
  void setWaitBound(std::optional<Duration> time);

  /// Start of the process at the other end in Unix ms, if it was proved; 0: not proved.
  int64_t peerStartedAt() const { return peerStartedAt_; }
  void setPeerStartedAt(int64_t startedAt) { peerStartedAt_ = startedAt; }

  /// @return whether bytes that were already received wait to be read.
  bool hasBufferedBytes() const { return buffered() > 0; }
  /// @return whether the socket has bytes or its end, now, beside buffered ones.
  bool socketReadable();
  /// Waits for bytes of this connection.
  /// @param other closed by its peer while we wait: ends the wait; null: none. Bytes that arrive
  ///        there are left alone. Its pending output is written meanwhile.
  WaitOutcome waitReadable(Duration timeout, ByteConnection* other);

  /// Reads at most `capacity` bytes; blocks up to the time set by setIoTimeout().
  ReadOutcome readSome(char* buffer, size_t capacity, size_t& count);
  /// Reads one byte. @return kBytes, kEnd or kBroken.
  ReadOutcome readByte(char& byte);
  /// Writes what the system takes at once, without blocking.
  /// @param bytes not empty.
  /// @param count bytes that were taken.
  WriteOutcome writeSome(std::string_view bytes, size_t& count);
  /// Writes everything. @return false where the connection broke or the peer does not read.
  bool writeAll(std::string_view bytes);
  /// Closes so that the peer can tell the message from a complete one: by a reset.
  void reset();
  /// @return whether the peer has closed or reset its side.
  bool closedByPeer();
  /// Waits for so long, or until the peer closes or resets its side. If there is pending output, it
  /// is written, and the wait ends when some could be.
  /// @return whether the peer closed or reset its side.
  bool leftWithin(Duration time);
  /// Sets what is written while another connection or the end of this one is waited for; null:
  /// nothing.
  void setPendingOutput(PendingOutput* output) { pendingOutput_ = output; }
  /// @return the events to poll for at a connection that is watched while another one is used.
  short watchedEvents() const;
  /// Handles the events that poll() returned: writes pending output if there is room.
  /// @return whether the peer closed or reset its side, or the connection is broken.
  bool handleWatched(short events);
  /// Sets after which time without acknowledgement or room at the peer the system closes the
  /// connection.
  void setSilenceTimeout(Duration timeout);
  /// Limits the bytes that the system holds unsent, beside those in flight.
  void setMaxUnsentBytes(int bytes);
  /// @return whether sent bytes were not acknowledged for that long although they were repeated. A
  ///         peer that acknowledges but has no room for more is not meant.
  bool isUnacknowledgedFor(Duration time);

 private:
  /// Waits for bytes as long as reads may. @return whether some can be read.
  bool awaitInput();
  /// @return the outcome of a read that found the end of the connection.
  ReadOutcome endOutcome() const { return hasFailed_ ? ReadOutcome::kBroken : ReadOutcome::kEnd; }

  bool hasFailed_ = false;  ///< A read or write has failed.
  PendingOutput* pendingOutput_ = nullptr;
  Duration ioTimeout_ = Duration::max();
  std::optional<std::chrono::steady_clock::time_point> waitUntil_;
  int64_t peerStartedAt_ = 0;
};

/// Waits of the system stand while a machine is suspended, its deadlines don't. A wait for a back
/// end is cut into pieces of this length, so that the clock is looked at again: a request ends at
/// most so much after its deadline, and most waits are shorter and cost nothing more.
inline constexpr Duration kLongestWaitPiece{1000000};

/// Options of a connection to a peer that may fall silent without a word.
struct ConnectOptions {
  Duration connectTimeout{1000000};
  Duration silenceTimeout{2000000};  ///< Unacknowledged bytes and unanswered keep-alive probes.
  Duration ioTimeout{5000000};
};

/// Opens a connection. @return null where it could not be opened; nothing was sent then.
std::unique_ptr<ByteConnection> connectTo(const SocketAddress& address,
                                          const ConnectOptions& options);

/// What a look at a port shows of the process behind it.
enum class PortState {
  kTakesConnections,  ///< The process is there, or its machine keeps the port for it.
  kRefuses,           ///< The machine is there, the process isn't.
  kNotReached,        ///< Neither in the time given: nothing is known.
};
PortState lookAtPort(const SocketAddress& address, Duration timeout);

/// Sets no-delay and the times after which a silent peer counts as dead.
void guardAgainstSilence(Poco::Net::StreamSocket& socket, Duration silence);

}  // namespace fernmoor
