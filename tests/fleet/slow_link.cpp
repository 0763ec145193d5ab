#include "slow_link.hpp"

#include <algorithm>
#include <netinet/in.h>
#include <sys/socket.h>

namespace boragestand::fleet
{

namespace
{

constexpr duration tick = std::chrono::milliseconds(2);
constexpr std::size_t segment = 1400;
constexpr std::size_t request_buffer = 16 * 1024;

transport::unique_fd connect_to(const transport::endpoint& remote)
{
    transport::unique_fd fd(
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    // A small window, so that little is under way beside what the link carries.
    const int window = 16 * 1024;
    ::setsockopt(fd.value(), SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(remote.address);
    address.sin_port = htons(remote.port);
    ::connect(fd.value(), reinterpret_cast<const sockaddr*>(&address),
              sizeof(address));
    return fd;
}

// Passes at most limit bytes on from one socket to another; returns how many.
std::size_t pass_on(int from, int to, std::string& waiting, std::size_t limit,
                    bool& ended)
{
    if (waiting.empty())
    {
        waiting.resize(limit);
        const auto count =
            ::recv(from, waiting.data(), waiting.size(), MSG_DONTWAIT);
        waiting.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        ended = ended || count == 0;
    }
    const auto sent =
        ::send(to, waiting.data(), waiting.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    const auto passed = static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
    waiting.erase(0, passed);
    return passed;
}

} // namespace

slow_link::slow_link(transport::main_loop& loop,
                     transport::timer_service& timers,
                     const transport::endpoint& remote, double rate)
    : remote_(remote)
    , rate_(rate)
    , last_tick_(timers.now())
    , listener_(transport::tcp_listener::open(loop, {0x7f000001, 0}).value())
{
    listener_.start(
        [this](transport::unique_fd caller, const transport::endpoint&)
        { accept(std::move(caller)); });
    ticks_ = timers.every(tick, [this](time_point now) { relay(now); });
}

void slow_link::accept(transport::unique_fd caller)
{
    connections_.push_back(
        {std::move(caller), connect_to(remote_), {}, {}, false});
}

void slow_link::relay(time_point now)
{
    const std::chrono::duration<double> passed = now - last_tick_;
    last_tick_ = now;
    // An idle link saves nothing up beyond one segment.
    budget_ = std::min(budget_ + passed.count() * rate_,
                       passed.count() * rate_ + segment);
    bool busy = true;
    while (busy && budget_ >= 1)
    {
        busy = false;
        for (auto& each : connections_)
        {
            const auto limit = std::min<std::size_t>(
                segment, static_cast<std::size_t>(std::max(budget_, 0.0)));
            const auto count =
                pass_on(each.instance.value(), each.caller.value(),
                        each.answers, limit, each.ended);
            budget_ -= static_cast<double>(count);
            relayed_ += count;
            busy = busy || count > 0;
        }
    }
    for (auto& each : connections_)
    {
        pass_on(each.caller.value(), each.instance.value(), each.requests,
                request_buffer, each.ended);
    }
    std::erase_if(connections_,
                  [](const connection& each) { return each.ended; });
}

} // namespace boragestand::fleet
