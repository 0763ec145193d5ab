#include "transport/http1_server.hpp"

#include "transport/http1_connection.hpp"
#include "transport/tcp_listener.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace boragestand::transport
{

namespace
{

// After stop_accepting(), a connection without a complete request counts as one
// this long after its last byte: its request may be under way.
constexpr duration request_arrival_time = std::chrono::milliseconds(100);

// Interval of the check for idle connections while any are open.
constexpr duration idle_check_interval = std::chrono::seconds(2);

} // namespace

struct http1_server::implementation
    : std::enable_shared_from_this<implementation>
{
    using connection = std::shared_ptr<http1_connection>;

    main_loop& loop;
    timer_service& timers;
    tcp_listener listener;
    http1_limits limits;
    handler handle;
    http1_counters counters;
    std::vector<connection> connections;
    subscription idle_check;
    bool stopping{false};

    implementation(main_loop& owner, timer_service& clock, tcp_listener opened,
                   const http1_limits& bounds, handler on_request)
        : loop(owner)
        , timers(clock)
        , listener(std::move(opened))
        , limits(bounds)
        , handle(std::move(on_request))
    {
    }

    void start()
    {
        listener.start([this](unique_fd fd, const endpoint& peer)
                       { add_connection(std::move(fd), peer); });
    }

    void add_connection(unique_fd fd, const endpoint& peer)
    {
        if (connections.size() >= limits.max_connections &&
            !close_longest_idle())
        {
            return;
        }
        ++counters.accepted;
        auto added = std::make_shared<http1_connection>(
            loop, timers, std::move(fd), peer, limits, counters,
            http1_connection::callbacks{
                [this](http_request request, const endpoint& from,
                       responder respond)
                { handle(std::move(request), from, std::move(respond)); },
                [weak = weak_from_this()](http1_connection* closed)
                {
                    if (const auto self = weak.lock())
                    {
                        self->remove_connection(closed);
                    }
                }});
        if (connections.empty())
        {
            idle_check =
                timers.every(idle_check_interval,
                             [this](time_point now) { close_timed_out(now); });
        }
        connections.push_back(added);
        added->open();
    }

    bool close_longest_idle()
    {
        connection oldest;
        for (const auto& each : connections)
        {
            const bool older =
                !oldest || each->last_active() < oldest->last_active();
            oldest = !each->is_busy() && older ? each : oldest;
        }
        if (oldest)
        {
            oldest->close();
        }
        return oldest != nullptr;
    }

    void close_timed_out(time_point now)
    {
        const auto all = connections;
        for (const auto& each : all)
        {
            if (!each->is_busy() &&
                now - each->last_active() >= limits.idle_timeout)
            {
                ++counters.timeouts;
                each->close();
            }
        }
        if (connections.empty())
        {
            idle_check.cancel();
        }
    }

    void remove_connection(http1_connection* closed)
    {
        std::erase_if(connections, [closed](const connection& each)
                      { return each.get() == closed; });
    }
};

http1_server::http1_server(std::shared_ptr<implementation> state)
    : implementation_(std::move(state))
{
}

result<std::unique_ptr<http1_server>>
http1_server::listen(main_loop& loop, timer_service& timers,
                     const endpoint& local, const http1_limits& limits,
                     handler handle)
{
    auto listener = tcp_listener::open(loop, local);
    if (!listener)
    {
        return tl::unexpected<error>(listener.error());
    }
    auto state = std::make_shared<implementation>(
        loop, timers, std::move(*listener), limits, std::move(handle));
    state->start();
    return std::unique_ptr<http1_server>(new http1_server(std::move(state)));
}

http1_server::~http1_server()
{
    const auto all = implementation_->connections;
    for (const auto& each : all)
    {
        each->close();
    }
}

endpoint http1_server::local_endpoint() const
{
    return implementation_->listener.local_endpoint();
}

void http1_server::stop_accepting()
{
    implementation_->listener.close();
    implementation_->stopping = true;
}

std::size_t http1_server::open_requests() const
{
    const auto now = implementation_->timers.now();
    const auto has_request = [this, now](const auto& each)
    {
        const bool recent = now - each->last_active() < request_arrival_time;
        return each->is_busy() || (implementation_->stopping && recent);
    };
    return static_cast<std::size_t>(
        std::count_if(implementation_->connections.begin(),
                      implementation_->connections.end(), has_request));
}

const http1_counters& http1_server::counters() const
{
    return implementation_->counters;
}

} // namespace boragestand::transport
