#include "http/message_body.h"

#include <Poco/String.h>

#include <algorithm>
#include <charconv>

namespace fernmoor {

namespace {

constexpr size_t kMaxChunkLine = 256;
constexpr size_t kMaxTrailerLines = 64;
constexpr size_t kMaxLengthDigits = 18;
constexpr int kHexadecimal = 16;

size_t countOf(const Poco::Net::MessageHeader& headers, const std::string& name) {
  size_t count = 0;
  for (auto entry = headers.find(name); entry != headers.end(); ++entry) {
    if (Poco::icompare(entry->first, name) == 0) {
      ++count;
    }
  }
  return count;
}

bool parseLength(const std::string& text, uint64_t& length) {
  if (text.empty() || text.size() > kMaxLengthDigits) {
    return false;
  }
  const auto result = std::from_chars(text.data(), text.data() + text.size(), length);
  return result.ec == std::errc() && result.ptr == text.data() + text.size();
}

BodyShape statedShape(const Poco::Net::MessageHeader& headers, BodyShape unstated) {
  const size_t lengths = countOf(headers, "Content-Length");
  const size_t encodings = countOf(headers, "Transfer-Encoding");
  if (lengths + encodings > 1) {
    return BodyShape{BodyFraming::kInvalid, 0};
  }
  if (encodings == 1) {
    const bool chunked = Poco::icompare(headers.get("Transfer-Encoding"), "chunked") == 0;
    return BodyShape{chunked ? BodyFraming::kChunked : BodyFraming::kInvalid, 0};
  }
  if (lengths == 0) {
    return unstated;
  }
  uint64_t length = 0;
  if (!parseLength(headers.get("Content-Length"), length)) {
    return BodyShape{BodyFraming::kInvalid, 0};
  }
  return BodyShape{length == 0 ? BodyFraming::kNone : BodyFraming::kLength, length};
}

}  // namespace

BodyShape requestBodyShape(const Poco::Net::MessageHeader& headers) {
  return statedShape(headers, BodyShape{BodyFraming::kNone, 0});
}

BodyShape answerBodyShape(const Poco::Net::MessageHeader& headers, bool bodyless) {
  if (bodyless) {
    return BodyShape{BodyFraming::kNone, 0};
  }
  return statedShape(headers, BodyShape{BodyFraming::kUntilClose, 0});
}

BodyReader::BodyReader(ByteConnection& connection, BodyShape shape)
    : connection_(connection), shape_(shape), state_(State::kData), left_(shape.length) {
  if (shape.framing == BodyFraming::kNone) {
    state_ = State::kComplete;
  } else if (shape.framing == BodyFraming::kChunked) {
    state_ = State::kChunkHeader;
  } else if (shape.framing == BodyFraming::kInvalid) {
    state_ = State::kBroken;
  }
}

BodyProgress BodyReader::fail() {
  state_ = State::kBroken;
  return BodyProgress::kBroken;
}

BodyProgress BodyReader::read(char* buffer, size_t capacity, size_t& count) {
  count = 0;
  while (true) {
    switch (state_) {
      case State::kComplete:
        return BodyProgress::kComplete;
      case State::kBroken:
        return BodyProgress::kBroken;
      case State::kChunkHeader:
        if (!readChunkHeader()) {
          return fail();
        }
        break;
      case State::kChunkEnd:
        if (!readChunkEnd()) {
          return fail();
        }
        break;
      case State::kTrailer:
        if (!readTrailer()) {
          return fail();
        }
        break;
      case State::kData:
        return readData(buffer, capacity, count);
    }
  }
}

BodyProgress BodyReader::readData(char* buffer, size_t capacity, size_t& count) {
  const bool bounded = shape_.framing != BodyFraming::kUntilClose;
  const size_t wanted =
      bounded ? static_cast<size_t>(std::min<uint64_t>(capacity, left_)) : capacity;
  const ReadOutcome outcome = connection_.readSome(buffer, wanted, count);
  if (outcome == ReadOutcome::kEnd && !bounded) {
    state_ = State::kComplete;
    return BodyProgress::kComplete;
  }
  if (outcome != ReadOutcome::kBytes) {
    return fail();
  }
  if (bounded) {
    left_ -= count;
    if (left_ == 0) {
      state_ = shape_.framing == BodyFraming::kChunked ? State::kChunkEnd : State::kComplete;
    }
  }
  return BodyProgress::kBytes;
}

bool BodyReader::readLine(std::string& line) {
  line.clear();
  char byte = 0;
  while (connection_.readByte(byte) == ReadOutcome::kBytes) {
    if (byte == '\n') {
      if (line.empty() || line.back() != '\r') {
        return false;
      }
      line.pop_back();
      return true;
    }
    line += byte;
    if (line.size() > kMaxChunkLine) {
      return false;
    }
  }
  return false;
}

bool BodyReader::readChunkHeader() {
  std::string line;
  if (!readLine(line)) {
    return false;
  }
  const std::string digits = line.substr(0, line.find_first_of("; \t"));
  uint64_t size = 0;
  const auto result =
      std::from_chars(digits.data(), digits.data() + digits.size(), size, kHexadecimal);
  if (digits.empty() || digits.size() > 15 || result.ec != std::errc() ||
      result.ptr != digits.data() + digits.size()) {
    return false;
  }
  left_ = size;
  state_ = size == 0 ? State::kTrailer : State::kData;
  return true;
}

bool BodyReader::readChunkEnd() {
  std::string line;
  if (!readLine(line) || !line.empty()) {
    return false;
  }
  state_ = State::kChunkHeader;
  return true;
}

bool BodyReader::readTrailer() {
  std::string line;
  for (size_t lines = 0; lines < kMaxTrailerLines; ++lines) {
    if (!readLine(line)) {
      return false;
    }
    if (line.empty()) {
      state_ = State::kComplete;
      return true;
    }
  }
  return false;
}

}  // namespace fernmoor
