#include "transport/http1_connection.hpp"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <optional>
#include <utility>

namespace boragestand::transport
{

namespace
{

namespace http = boost::beast::http;

constexpr std::size_t read_buffer_size = 16 * 1024;

// Bytes of pipelined requests buffered while a request is being handled. A
// connection that exceeds it is closed.
constexpr std::size_t max_pipelined_bytes = 64 * 1024;

std::string to_lower(boost::beast::string_view text)
{
    std::string lowered(text.data(), text.size());
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char letter)
                   { return static_cast<char>(std::tolower(letter)); });
    return lowered;
}

int status_of(const boost::system::error_code& error)
{
    if (error == http::error::body_limit)
    {
        return 413;
    }
    return error == http::error::header_limit ? 431 : 400;
}

} // namespace

struct http1_connection::parser
{
    std::optional<http::request_parser<http::string_body>> current;

    void restart(const http1_limits& limits)
    {
        current.emplace();
        current->body_limit(limits.max_body);
        current->header_limit(limits.max_header);
        current->eager(true);
    }
};

http1_connection::http1_connection(main_loop& loop, timer_service& timers,
                                   unique_fd fd, const endpoint& peer,
                                   const http1_limits& limits,
                                   http1_counters& counters,
                                   callbacks server_callbacks)
    : loop_(loop)
    , timers_(timers)
    , fd_(std::move(fd))
    , peer_(peer)
    , limits_(limits)
    , counters_(counters)
    , callbacks_(std::move(server_callbacks))
    , parser_(std::make_unique<parser>())
    , last_active_(timers.now())
{
    parser_->restart(limits_);
}

http1_connection::~http1_connection() = default;

void http1_connection::open()
{
    watch(readiness::readable);
}

void http1_connection::close()
{
    if (!fd_)
    {
        return;
    }
    watch_.cancel();
    fd_ = unique_fd();
    callbacks_.closed(this);
}

void http1_connection::watch(readiness wanted)
{
    if (wanted == watched_conditions_)
    {
        return;
    }
    watched_conditions_ = wanted;
    if (wanted == readiness::none)
    {
        watch_.cancel();
        return;
    }
    watch_ = loop_.watch(fd_.value(), wanted,
                         [weak = weak_from_this()](readiness ready)
                         {
                             if (const auto self = weak.lock())
                             {
                                 self->handle_ready(ready);
                             }
                         });
}

void http1_connection::handle_ready(readiness ready)
{
    const auto has = [ready](readiness bit)
    {
        return (static_cast<unsigned>(ready) & static_cast<unsigned>(bit)) != 0;
    };
    if (has(readiness::writable))
    {
        flush();
    }
    if (fd_ && has(readiness::readable) && receive())
    {
        parse();
        finish_input();
    }
}

// A peer that has closed its sending half may still wait for its response.
void http1_connection::finish_input()
{
    if (!fd_ || !input_ended_)
    {
        return;
    }
    if (!is_busy())
    {
        close();
        return;
    }
    if (input_.empty())
    {
        keep_alive_ = false;
        close_after_send_ = close_after_send_ || !handling_request_;
    }
    update_watch();
}

bool http1_connection::receive()
{
    std::array<char, read_buffer_size> buffer;
    while (true)
    {
        const auto count = ::recv(fd_.value(), buffer.data(), buffer.size(), 0);
        if (count > 0)
        {
            input_.append(buffer.data(), static_cast<std::size_t>(count));
            last_active_ = timers_.now();
            if (handling_request_ && input_.size() > max_pipelined_bytes)
            {
                close();
                return false;
            }
            if (static_cast<std::size_t>(count) < buffer.size())
            {
                return true;
            }
            continue;
        }
        if (count < 0 && errno == EINTR)
        {
            continue;
        }
        if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK))
        {
            return true;
        }
        if (count == 0)
        {
            input_ended_ = true;
            return true;
        }
        close();
        return false;
    }
}

void http1_connection::parse()
{
    while (fd_ && !handling_request_ && !close_after_send_ && !input_.empty())
    {
        boost::system::error_code error;
        const auto used = parser_->current->put(
            boost::asio::buffer(input_.data(), input_.size()), error);
        input_.erase(0, used);
        if (error == http::error::need_more)
        {
            error = {};
        }
        if (error)
        {
            ++counters_.malformed;
            send_error(status_of(error), error.message());
            return;
        }
        if (parser_->current->is_done())
        {
            dispatch();
            continue;
        }
        if (used == 0)
        {
            return;
        }
    }
}

void http1_connection::dispatch()
{
    auto message = parser_->current->release();
    parser_->restart(limits_);
    ++counters_.requests;
    http_request request;
    request.method = std::string(message.method_string());
    request.path = std::string(message.target());
    request.body = std::move(message.body());
    for (const auto& field : message)
    {
        request.headers[to_lower(field.name_string())] =
            std::string(field.value());
    }
    keep_alive_ = message.keep_alive();
    handling_request_ = true;
    const auto number = ++request_number_;
    callbacks_.handle(
        std::move(request), peer_,
        [weak = weak_from_this(), number](const http_response& response)
        {
            if (const auto self = weak.lock())
            {
                self->respond(number, response);
            }
        });
}

void http1_connection::send_error(int status, const std::string& message)
{
    keep_alive_ = false;
    send({.status = status, .headers = {}, .body = message});
}

void http1_connection::respond(std::uint64_t request,
                               const http_response& response)
{
    if (!fd_ || !handling_request_ || request != request_number_)
    {
        return;
    }
    handling_request_ = false;
    last_active_ = timers_.now();
    send(response);
    if (fd_ && !close_after_send_ && !input_.empty())
    {
        loop_.post(
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                {
                    self->parse();
                    self->finish_input();
                }
            });
    }
}

void http1_connection::send(const http_response& response)
{
    const auto reason =
        http::obsolete_reason(static_cast<http::status>(response.status));
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + ' ' +
                       std::string(reason) + "\r\n";
    for (const auto& [name, value] : response.headers)
    {
        text += name + ": " + value + "\r\n";
    }
    text += "content-length: " + std::to_string(response.body.size()) + "\r\n";
    if (!keep_alive_)
    {
        text += "connection: close\r\n";
        close_after_send_ = true;
    }
    unsent_ += text + "\r\n" + response.body;
    flush();
}

void http1_connection::flush()
{
    std::size_t sent = 0;
    while (sent < unsent_.size())
    {
        const auto count = ::send(fd_.value(), unsent_.data() + sent,
                                  unsent_.size() - sent, MSG_NOSIGNAL);
        if (count > 0)
        {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EINTR)
        {
            continue;
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK)
        {
            break;
        }
        close();
        return;
    }
    unsent_.erase(0, sent);
    if (unsent_.empty() && close_after_send_)
    {
        // Half-closes first, so that the peer can read the response before it
        // sees the end of the stream.
        ::shutdown(fd_.value(), SHUT_WR);
        loop_.post(
            [weak = weak_from_this()]
            {
                if (const auto self = weak.lock())
                {
                    self->close();
                }
            });
        return;
    }
    update_watch();
}

// After the end of the input the socket is always readable.
void http1_connection::update_watch()
{
    if (input_ended_)
    {
        watch(unsent_.empty() ? readiness::none : readiness::writable);
        return;
    }
    watch(unsent_.empty() ? readiness::readable : readiness::both);
}

} // namespace boragestand::transport
