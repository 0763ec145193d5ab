#include "loop_fixture.hpp"

#include <sys/socket.h>

#include <optional>
#include <string>
#include <vector>

namespace boragestand::transport
{

namespace
{

using namespace std::chrono_literals;

using exchange_ptr = std::shared_ptr<http_exchange>;

// Opens a plain TCP connection and writes the bytes, which fit into the socket
// buffers of the loopback interface.
unique_fd connect_and_write(const endpoint& remote, std::string_view bytes)
{
    unique_fd fd(::socket(AF_INET, SOCK_STREAM, 0));
    const sockaddr_in address = to_sockaddr(remote);
    EXPECT_EQ(::connect(fd.value(), reinterpret_cast<const sockaddr*>(&address),
                        sizeof address),
              0);
    EXPECT_EQ(::send(fd.value(), bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
    return fd;
}

bool is_closed_by_peer(int fd)
{
    char byte = 0;
    const ssize_t count = ::recv(fd, &byte, 1, MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

// An empty SETTINGS frame, and a HEADERS frame with END_STREAM for "GET /" to
// authority "a" on stream 1, encoded with the static table of HPACK.
const std::string empty_settings("\0\0\0\4\0\0\0\0\0", 9);
const std::string get_root("\0\0\6\1\5\0\0\0\1\x82\x86\x84\1\1"
                           "a",
                           15);

} // namespace

class http2 : public loop_fixture
{
protected:
    void listen(const endpoint& local, http2_server::handler handle)
    {
        auto listening = http2_server::listen(loop_, local, std::move(handle));
        ASSERT_TRUE(listening) << listening.error().message;
        server_ = std::move(*listening);
        client_.emplace(loop_, timers_, server_->local_endpoint());
    }

    result<http_response> call(http_request request, duration timeout = 50s)
    {
        std::optional<result<http_response>> outcome;
        client_->request(std::move(request), timeout,
                         [&](result<http_response> response)
                         { outcome = std::move(response); });
        run_until([&] { return outcome.has_value(); });
        return *outcome;
    }

    std::unique_ptr<http2_server> server_;
    std::optional<http2_client> client_;
};

// Guards against lost header fields, and against a stall on bodies larger than
// the flow-control window.
TEST_F(http2, carries_all_parts_of_requests_and_responses)
{
    listen(any_local_port,
           [](http_request request, exchange_ptr exchange)
           {
               EXPECT_EQ(request.method, "PUT");
               EXPECT_EQ(request.path, "/v1/x?after=3");
               exchange->respond({207,
                                  {{"echo", request.headers["kind"]}},
                                  request.body + "!"});
           });
    const std::string large(max_body_size - 1, 'x');
    for (const std::string& body : {std::string(), std::string("a"), large})
    {
        const auto response =
            call({"PUT", "/v1/x?after=3", {{"kind", "note"}}, body});
        ASSERT_TRUE(response) << response.error().message;
        EXPECT_EQ(response->status, 207);
        EXPECT_EQ(response->headers.at("echo"), "note");
        EXPECT_TRUE(response->body == body + "!");
    }
}

// Guards against unbounded memory use for an endless request or response body.
TEST_F(http2, bounds_bodies)
{
    listen(any_local_port,
           [](http_request, exchange_ptr exchange)
           {
               exchange->start_stream(200, {});
               exchange->send_chunk(std::string(max_body_size, 'x'));
               exchange->send_chunk("y");
               exchange->finish_stream();
           });
    const auto rejected =
        call({"POST", "/", {}, std::string(max_body_size + 1, 'x')});
    ASSERT_TRUE(rejected);
    EXPECT_EQ(rejected->status, 413);
    const auto too_large = call({});
    ASSERT_FALSE(too_large);
    EXPECT_EQ(too_large.error().kind, error_kind::resource_exhausted);
}

// Guards against body parts that are delayed, reordered or lost, and against a
// server that continues a cancelled stream.
TEST_F(http2, streams_parts_until_the_subscription_ends)
{
    exchange_ptr kept;
    bool abandoned = false;
    listen(any_local_port,
           [&](http_request, exchange_ptr exchange)
           {
               kept = exchange;
               exchange->on_abandoned([&] { abandoned = true; });
               exchange->start_stream(200, {});
               exchange->send_chunk("one ");
           });
    std::string received;
    int ends = 0;
    int status = 0;
    auto stream =
        client_->stream({}, {[&](int value) { status = value; },
                             [&](std::string_view bytes) { received += bytes; },
                             [&](result<void>)
                             {
                                 ++ends;
                             }});
    run_until([&] { return received == "one "; });
    kept->send_chunk("two");
    run_until([&] { return received == "one two"; });
    EXPECT_EQ(status, 200);
    stream.cancel();
    run_until([&] { return abandoned; });
    EXPECT_FALSE(kept->is_open());
    EXPECT_EQ(ends, 0);

    stream = client_->stream({}, {[](int) {}, [](std::string_view) {},
                                  [&](result<void> outcome)
                                  {
                                      ends += outcome ? 1 : 100;
                                  }});
    run_until([&] { return kept->is_open(); });
    kept->finish_stream();
    run_until([&] { return ends != 0; });
    EXPECT_EQ(ends, 1);
}

// Guards against a request without a response that never completes, and against
// a late response that is delivered to the next request.
TEST_F(http2, times_out_and_drops_the_late_answer)
{
    std::vector<exchange_ptr> kept;
    bool abandoned = false;
    listen(any_local_port,
           [&](http_request request, exchange_ptr exchange)
           {
               if (request.path == "/fast")
               {
                   exchange->respond({200, {}, "fast"});
                   return;
               }
               exchange->on_abandoned([&] { abandoned = true; });
               kept.push_back(exchange);
           });
    const auto late = call({}, 20ms);
    ASSERT_FALSE(late);
    EXPECT_EQ(late.error().kind, error_kind::timeout);
    run_until([&] { return abandoned || kept.empty(); });
    for (const auto& exchange : kept)
    {
        exchange->respond({200, {}, "late"});
    }
    const auto next = call({"GET", "/fast", {}, ""});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->body, "fast");
}

// Guards against a client that does not reconnect after its server restarted,
// and against requests that are sent twice.
TEST_F(http2, connects_again_after_a_loss)
{
    int handled = 0;
    const auto echo = [&](http_request request, exchange_ptr exchange)
    {
        ++handled;
        exchange->respond({200, {}, request.body});
    };
    listen(any_local_port, echo);
    const endpoint address = server_->local_endpoint();
    ASSERT_TRUE(call({"POST", "/", {}, "1"}));
    server_.reset();
    for (int i = 0; i < 2; ++i)
    {
        const auto lost = call({"POST", "/", {}, "2"});
        ASSERT_FALSE(lost);
        EXPECT_EQ(lost.error().kind, error_kind::unavailable);
    }
    auto again = http2_server::listen(loop_, address, echo);
    ASSERT_TRUE(again) << again.error().message;
    ASSERT_TRUE(call({"POST", "/", {}, "3"}));
    EXPECT_EQ(handled, 2);
}

// Guards against a graceful stop that aborts a request in progress.
TEST_F(http2, finishes_open_exchanges_after_stop_accepting)
{
    exchange_ptr kept;
    listen(any_local_port, [&](http_request, exchange_ptr exchange)
           { kept = std::move(exchange); });
    std::optional<result<http_response>> first;
    client_->request({}, 50s,
                     [&](result<http_response> response)
                     { first = std::move(response); });
    run_until([&] { return kept != nullptr; });
    server_->stop_accepting();
    EXPECT_EQ(server_->open_exchanges(), 1u);
    const auto second = call({});
    ASSERT_FALSE(second);
    EXPECT_EQ(second.error().kind, error_kind::unavailable);
    kept->respond({200, {}, "done"});
    run_until([&] { return first.has_value(); });
    ASSERT_TRUE(*first) << first->error().message;
    EXPECT_EQ((*first)->body, "done");
    run_until([&] { return server_->open_exchanges() == 0; });
}

// Guards against malformed bytes from one peer that affect the connections of
// others.
TEST_F(http2, closes_only_the_connection_with_malformed_bytes)
{
    listen(any_local_port,
           [](http_request, exchange_ptr exchange) { exchange->respond({}); });
    ASSERT_TRUE(call({}));
    random_generator random(11);
    std::string random_bytes(4096, '\0');
    for (char& byte : random_bytes)
    {
        byte = static_cast<char>(random.next());
    }
    const std::vector<std::string> cases{
        random_bytes,
        "GET / HTTP/1.1\r\n\r\n" + std::string(64, ' '),
        preface + random_bytes,
        preface + empty_settings + std::string(64, '\xff'),
    };
    for (const std::string& bytes : cases)
    {
        const auto fd = connect_and_write(server_->local_endpoint(), bytes);
        run_until([&] { return is_closed_by_peer(fd.value()); });
    }
    EXPECT_TRUE(call({}));
}

// Guards against unbounded memory use for a peer that sends a request and does
// not read the response.
TEST_F(http2, drops_a_peer_that_stops_reading)
{
    exchange_ptr kept;
    listen(any_local_port,
           [&](http_request, exchange_ptr exchange)
           {
               kept = std::move(exchange);
               kept->start_stream(200, {});
           });
    const auto fd = connect_and_write(server_->local_endpoint(),
                                      preface + empty_settings + get_root);
    run_until([&] { return kept != nullptr; });
    ASSERT_NE(kept, nullptr);
    const std::string chunk(max_body_size / 4, 'x');
    std::size_t largest = 0;
    run_until(
        [&]
        {
            kept->send_chunk(chunk);
            largest = std::max(largest, kept->backlog());
            return !kept->is_open();
        });
    EXPECT_LE(largest, 5 * max_body_size);
    EXPECT_EQ(server_->open_exchanges(), 0u);
}

// Guards against use of a client, or of an exchange on its connection, after
// the client was destroyed in a callback.
TEST_F(http2, allows_destruction_in_callbacks)
{
    listen(any_local_port,
           [](http_request, exchange_ptr exchange) { exchange->respond({}); });
    int answers = 0;
    for (int i = 0; i < 3; ++i)
    {
        client_->request({}, 50s,
                         [&](const result<http_response>&)
                         {
                             ++answers;
                             client_.reset();
                         });
    }
    run_until([&] { return !client_.has_value(); });
    EXPECT_EQ(answers, 1);
}

// Guards against a client that keeps using a connection whose peer or path
// failed without a reset.
TEST_F(http2, opens_a_new_connection_after_a_silent_one)
{
    unique_fd silent(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
    sockaddr_in address = to_sockaddr(any_local_port);
    ASSERT_EQ(::bind(silent.value(), reinterpret_cast<sockaddr*>(&address),
                     sizeof address),
              0);
    ASSERT_EQ(::listen(silent.value(), 8), 0);
    socklen_t size = sizeof address;
    ::getsockname(silent.value(), reinterpret_cast<sockaddr*>(&address), &size);
    http2_client client(loop_, timers_, from_sockaddr(address));
    int answers = 0;
    const auto count = [&answers](const result<http_response>& response)
    {
        EXPECT_FALSE(response);
        ++answers;
    };
    client.request({}, 50ms, count);
    run_until([&] { return answers == 1; });
    client.request({}, 50ms, count);
    run_until([&] { return answers == 2; });
    const unique_fd first(
        ::accept4(silent.value(), nullptr, nullptr, SOCK_NONBLOCK));
    const unique_fd second(
        ::accept4(silent.value(), nullptr, nullptr, SOCK_NONBLOCK));
    EXPECT_TRUE(first);
    EXPECT_TRUE(second);
}

// Guards against a response that is given up although its bytes keep arriving,
// and against one that is awaited after they have stopped.
TEST_F(http2, limits_the_silence_of_a_response)
{
    subscription sending;
    listen(any_local_port,
           [&](const http_request& request, const exchange_ptr& exchange)
           {
               exchange->start_stream(200, {});
               sending = timers_.every(50ms,
                                       [exchange, left = 8](time_point) mutable
                                       {
                                           exchange->send_chunk("x");
                                           if (--left == 0)
                                           {
                                               exchange->finish_stream();
                                           }
                                       });
               if (request.path == "/stops")
               {
                   sending = timers_.after(50ms, [exchange](time_point)
                                           { exchange->send_chunk("x"); });
               }
           });
    const auto ask = [this](const std::string& path)
    {
        std::optional<result<http_response>> outcome;
        client_->request(
            {.path = path}, 200ms,
            [&](result<http_response> response)
            { outcome = std::move(response); },
            http2_client::time_limit::silence);
        run_until([&] { return outcome.has_value(); });
        return *outcome;
    };
    const auto slow = ask("/slow");
    ASSERT_TRUE(slow) << slow.error().message;
    EXPECT_EQ(slow->body, "xxxxxxxx");
    const auto stopped = ask("/stops");
    ASSERT_FALSE(stopped);
    EXPECT_EQ(stopped.error().kind, error_kind::timeout);
}

} // namespace boragestand::transport
