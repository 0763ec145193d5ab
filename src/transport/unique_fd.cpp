#include "transport/unique_fd.hpp"

#include <unistd.h>

#include <utility>

namespace boragestand::transport
{

unique_fd::~unique_fd()
{
    if (fd_ >= 0)
    {
        ::close(fd_);
    }
}

unique_fd& unique_fd::operator=(unique_fd&& other) noexcept
{
    std::swap(fd_, other.fd_);
    return *this;
}

int unique_fd::release()
{
    return std::exchange(fd_, -1);
}

} // namespace boragestand::transport
