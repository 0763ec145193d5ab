#include "settings/bounded_output.hpp"

#include "base/base.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace boragestand::settings
{

bounded_output::bounded_output(int descriptor, std::size_t limit)
    : descriptor_(descriptor), limit_(limit)
{
    const int flags = ::fcntl(descriptor_, F_GETFL);
    ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void bounded_output::write(std::string_view line)
{
    flush();
    if (buffer_.size() + line.size() > limit_)
    {
        ++dropped_;
        return;
    }
    if (dropped_ != reported_dropped_)
    {
        buffer_ += log_line("lines_omitted")
                       .with("cause", "output_full")
                       .with("omitted", dropped_ - reported_dropped_)
                       .text() +
                   '\n';
        reported_dropped_ = dropped_;
    }
    buffer_ += line;
    flush();
}

// Any error other than EINTR and EAGAIN means that nobody can read the log any
// more; the buffer is then discarded.
void bounded_output::flush()
{
    std::size_t written = 0;
    while (written < buffer_.size())
    {
        const auto count = ::write(descriptor_, buffer_.data() + written,
                                   buffer_.size() - written);
        if (count > 0)
        {
            written += static_cast<std::size_t>(count);
            continue;
        }
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK)
        {
            written = buffer_.size();
        }
        break;
    }
    buffer_.erase(0, written);
}

} // namespace boragestand::settings
