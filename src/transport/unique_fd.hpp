#pragma once

namespace boragestand::transport
{

/// Owns a file descriptor and closes it on destruction. -1 means none.
class unique_fd
{
public:
    unique_fd() = default;
    explicit unique_fd(int fd) : fd_(fd) {}
    ~unique_fd();

    unique_fd(unique_fd&& other) noexcept : fd_(other.release()) {}
    unique_fd& operator=(unique_fd&& other) noexcept;

    /// The descriptor, without a transfer of ownership.
    int value() const { return fd_; }

    /// Whether a descriptor is owned.
    explicit operator bool() const { return fd_ >= 0; }

    /// Returns the descriptor and gives up ownership of it.
    int release();

private:
    int fd_{-1};
};

} // namespace boragestand::transport
