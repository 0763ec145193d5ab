#pragma once

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <string_view>

namespace boragestand::transport
{

/// Message body that nghttp2 reads in parts; it may grow while being read.
class http2_body
{
public:
    /// Appends bytes and discards those that have been read.
    void append(std::string_view bytes)
    {
        bytes_.erase(0, read_offset_);
        read_offset_ = 0;
        bytes_.append(bytes);
    }

    /// Marks the end of the body.
    void finish() { finished_ = true; }

    /// Whether finish() was called.
    bool is_finished() const { return finished_; }

    /// Number of bytes that nghttp2 has not read yet.
    std::size_t size() const { return bytes_.size() - read_offset_; }

    /// Copies the next part to the buffer; parameters and result are those of
    /// nghttp2_data_source_read_callback.
    ssize_t read(std::uint8_t* buffer, std::size_t capacity,
                 std::uint32_t* flags)
    {
        const std::size_t count = std::min(capacity, size());
        std::memcpy(buffer, bytes_.data() + read_offset_, count);
        read_offset_ += count;
        if (size() > 0)
        {
            return static_cast<ssize_t>(count);
        }
        if (finished_)
        {
            *flags |= NGHTTP2_DATA_FLAG_EOF;
            return static_cast<ssize_t>(count);
        }
        return count > 0 ? static_cast<ssize_t>(count)
                         : static_cast<ssize_t>(NGHTTP2_ERR_DEFERRED);
    }

private:
    std::string bytes_;
    std::size_t read_offset_{0};
    bool finished_{false};
};

} // namespace boragestand::transport
