#include "transport/http2_client.hpp"

#include "transport/http2_client_connection.hpp"

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace boragestand::transport
{

namespace
{

// Concurrent requests. Further ones fail immediately, so that an unresponsive
// peer cannot make the queue grow.
constexpr std::size_t max_open_requests = 1024;

} // namespace

struct http2_client::implementation
    : std::enable_shared_from_this<implementation>
{
    struct call
    {
        std::weak_ptr<http2_client_connection> connection;
        std::int32_t stream{-1};
        std::uint64_t received_at_start{0}; ///< bytes at the start of the call
        subscription timeout;
        duration silence_limit{0}; ///< restarts the time-out; 0: it does not
        http_response response;
        response_callback callback;
    };

    main_loop& loop;
    timer_service& timers;
    endpoint remote;
    duration connect_timeout;
    std::vector<std::shared_ptr<http2_client_connection>> connections;
    std::map<std::uint64_t, call> calls;
    std::uint64_t next_call_id{1};

    implementation(main_loop& owner, timer_service& clock, const endpoint& peer,
                   duration connecting)
        : loop(owner), timers(clock), remote(peer), connect_timeout(connecting)
    {
    }

    std::shared_ptr<http2_client_connection> usable_connection()
    {
        const auto found =
            std::find_if(connections.begin(), connections.end(),
                         [](const auto& connection)
                         { return connection->accepts_requests(); });
        if (found != connections.end())
        {
            return *found;
        }
        auto opened = http2_client_connection::connect(
            loop, remote, connect_timeout,
            [weak = weak_from_this()](http2_client_connection* closed)
            {
                if (const auto self = weak.lock())
                {
                    self->remove_connection(closed);
                }
            });
        if (opened)
        {
            connections.push_back(opened);
        }
        return opened;
    }

    void remove_connection(http2_client_connection* closed)
    {
        std::erase_if(connections, [closed](const auto& connection)
                      { return connection.get() == closed; });
    }

    std::size_t open_streams() const
    {
        std::size_t total = 0;
        for (const auto& connection : connections)
        {
            total += connection->open_streams();
        }
        return total;
    }

    // Completes the call with the error on the next iteration of the loop, so
    // that its callback never runs before request() has returned.
    void fail_later(std::uint64_t id, error reason)
    {
        loop.post(
            [weak = weak_from_this(), id, reason = std::move(reason)]
            {
                if (const auto self = weak.lock())
                {
                    self->finish(id, tl::unexpected<error>(reason));
                }
            });
    }

    void finish(std::uint64_t id, result<void> outcome)
    {
        const auto found = calls.find(id);
        if (found == calls.end())
        {
            return;
        }
        call done = std::move(found->second);
        calls.erase(found);
        if (!outcome)
        {
            done.callback(tl::unexpected<error>(outcome.error()));
            return;
        }
        done.callback(std::move(done.response));
    }

    void abort(std::uint64_t id, error_kind kind, const std::string& message)
    {
        const auto found = calls.find(id);
        if (found == calls.end())
        {
            return;
        }
        if (const auto connection = found->second.connection.lock())
        {
            connection->cancel(found->second.stream);
        }
        finish(id, failure(kind, message));
    }

    // If nothing has arrived on the connection since the call started, the
    // peer or the path may be down: the connection is closed and the next
    // request opens a new one.
    void time_out(std::uint64_t id)
    {
        const auto found = calls.find(id);
        const auto connection =
            found == calls.end() ? nullptr : found->second.connection.lock();
        const bool silent = connection && connection->received_bytes() ==
                                              found->second.received_at_start;
        const auto received =
            found == calls.end() ? 0 : found->second.response.body.size();
        abort(id, error_kind::timeout,
              to_string(remote) + " did not answer in time (" +
                  std::to_string(received) + " bytes of the answer arrived).");
        if (silent && connection->is_open())
        {
            connection->retire();
        }
    }

    void add_chunk(std::uint64_t id, std::string_view bytes)
    {
        const auto found = calls.find(id);
        if (found == calls.end())
        {
            return;
        }
        std::string& body = found->second.response.body;
        if (body.size() + bytes.size() > max_body_size)
        {
            abort(id, error_kind::resource_exhausted,
                  "The response of " + to_string(remote) + " is too large.");
            return;
        }
        body.append(bytes);
        if (found->second.silence_limit > duration(0))
        {
            start_timeout(id, found->second.silence_limit);
        }
    }

    void start_timeout(std::uint64_t id, duration timeout)
    {
        calls[id].timeout =
            timers.after(timeout, [this, id](time_point) { time_out(id); });
    }

    void set_headers(std::uint64_t id, int status, http_headers headers)
    {
        const auto found = calls.find(id);
        if (found != calls.end())
        {
            found->second.response.status = status;
            found->second.response.headers = std::move(headers);
        }
    }

    void submit(std::uint64_t id, http_request request)
    {
        if (open_streams() >= max_open_requests)
        {
            fail_later(id, {error_kind::resource_exhausted,
                            "Too many requests to " + to_string(remote) +
                                " wait for a response."});
            return;
        }
        const auto connection = usable_connection();
        const auto weak = weak_from_this();
        const std::int32_t stream =
            connection
                ? connection->submit(
                      std::move(request),
                      [weak, id](int status, http_headers headers)
                      {
                          if (const auto self = weak.lock())
                          {
                              self->set_headers(id, status, std::move(headers));
                          }
                      },
                      [weak, id](std::string_view bytes)
                      {
                          if (const auto self = weak.lock())
                          {
                              self->add_chunk(id, bytes);
                          }
                      },
                      [weak, id](result<void> outcome)
                      {
                          if (const auto self = weak.lock())
                          {
                              self->finish(id, std::move(outcome));
                          }
                      })
                : -1;
        if (stream < 0)
        {
            fail_later(id, {error_kind::unavailable,
                            to_string(remote) + " cannot be reached."});
            return;
        }
        calls[id].received_at_start = connection->received_bytes();
        calls[id].connection = connection;
        calls[id].stream = stream;
    }

    void start(http_request request, duration timeout,
               response_callback callback, time_limit limit)
    {
        const std::uint64_t id = next_call_id++;
        call& added = calls[id];
        added.callback = std::move(callback);
        added.silence_limit =
            limit == time_limit::silence ? timeout : duration(0);
        start_timeout(id, timeout);
        submit(id, std::move(request));
    }

    void close()
    {
        calls.clear();
        for (const auto& connection : std::exchange(connections, {}))
        {
            connection->close_without_callbacks();
        }
    }
};

http2_client::http2_client(main_loop& loop, timer_service& timers,
                           const endpoint& remote, duration connect_timeout)
    : implementation_(std::make_shared<implementation>(loop, timers, remote,
                                                       connect_timeout))
{
}

http2_client::~http2_client()
{
    implementation_->close();
}

void http2_client::request(http_request request, duration timeout,
                           response_callback callback, time_limit limit)
{
    implementation_->start(std::move(request), timeout, std::move(callback),
                           limit);
}

subscription http2_client::stream(http_request request,
                                  stream_callbacks callbacks)
{
    const auto connection = implementation_->usable_connection();
    const auto shared =
        std::make_shared<stream_callbacks>(std::move(callbacks));
    const std::int32_t id =
        connection
            ? connection->submit(
                  std::move(request),
                  [shared](int status, const http_headers&)
                  { shared->on_headers(status); },
                  [shared](std::string_view bytes) { shared->on_chunk(bytes); },
                  [shared](result<void> outcome)
                  { shared->on_end(std::move(outcome)); })
            : -1;
    if (id < 0)
    {
        const auto active = std::make_shared<bool>(true);
        implementation_->loop.post(
            [active, shared, remote = remote_endpoint()]
            {
                if (*active)
                {
                    shared->on_end(
                        failure(error_kind::unavailable,
                                to_string(remote) + " cannot be reached."));
                }
            });
        return subscription([active] { *active = false; });
    }
    return subscription(
        [weak = std::weak_ptr(connection), id]
        {
            if (const auto still_open = weak.lock())
            {
                still_open->cancel(id);
            }
        });
}

endpoint http2_client::remote_endpoint() const
{
    return implementation_->remote;
}

} // namespace boragestand::transport
