/// @file
/// Reads the body of one HTTP message strictly by its framing (RFC 9112, section 6). Poco's own
/// body streams take a broken chunk, or a connection that breaks off, for the end of the body; here
/// only the end that the framing states is an end.
#pragma once

#include <Poco/Net/MessageHeader.h>

#include <cstdint>
#include <string>

#include "http/byte_connection.h"

namespace fernmoor {

/// How the end of a body is known.
enum class BodyFraming {
  kNone,        ///< There is no body.
  kLength,      ///< Content-Length bytes.
  kChunked,     ///< Transfer-Encoding: chunked.
  kUntilClose,  ///< An answer that ends with its connection.
  kInvalid,     ///< Contradictory or malformed: the message must be refused.
};

/// Framing of a message and, for kLength, its length in bytes.
struct BodyShape {
  BodyFraming framing = BodyFraming::kNone;
  uint64_t length = 0;
};

/// @return the framing that the headers of a request state; kInvalid for two lengths, a length
///         beside chunks, or a length that is no number.
BodyShape requestBodyShape(const Poco::Net::MessageHeader& headers);
/// @return likewise for an answer. Where nothing is stated the body ends with the connection.
/// @param bodyless true for answers that never have one (HEAD, 204, 304, 1xx).
BodyShape answerBodyShape(const Poco::Net::MessageHeader& headers, bool bodyless);

/// Progress of reading a body.
enum class BodyProgress { kBytes, kComplete, kBroken };

/// Reads one body. Not thread-safe; the connection outlives it.
class BodyReader {
 public:
  BodyReader(ByteConnection& connection, BodyShape shape);

  /// Reads what is there, at most `capacity` bytes; blocks up to the connection's own time limit.
  /// @return kBytes with count > 0, kComplete at the stated end, or kBroken.
  BodyProgress read(char* buffer, size_t capacity, size_t& count);
  /// @return whether the whole body was read.
  bool complete() const { return state_ == State::kComplete; }

 private:
  enum class State { kChunkHeader, kData, kChunkEnd, kTrailer, kComplete, kBroken };

  BodyProgress readData(char* buffer, size_t capacity, size_t& count);
  bool readChunkHeader();
  bool readChunkEnd();
  bool readTrailer();
  bool readLine(std::string& line);
  BodyProgress fail();

  ByteConnection& connection_;
  BodyShape shape_;
  State state_;
  uint64_t left_ = 0;  ///< Bytes left of the body or of the chunk.
};

}  // namespace fernmoor
