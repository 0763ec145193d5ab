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
    if (kept_.size() + line.size() > limit_)
    {
        ++dropped_;
        return;
    }
    if (dropped_ != reported_)
    {
        kept_ += log_line("lines_omitted")
                     .with("cause", "output_full")
                     .with("omitted", dropped_ - reported_)
                     .text() +
                 '\n';
        reported_ = dropped_;
    }
    kept_ += line;
    flush();
}

// Any error other than EINTR and EAGAIN means that nobody can read the log any
// more; the buffer is then discarded.
void bounded_output::flush()
{
    std::size_t written = 0;
    while (written < kept_.size())
    {
        const auto count = ::write(descriptor_, kept_.data() + written,
                                   kept_.size() - written);
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
            written = kept_.size();
        }
        break;
    }
    kept_.erase(0, written);
}

} // namespace boragestand::settings
