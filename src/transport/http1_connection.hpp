#pragma once

#include "transport/http1_server.hpp"
#include "transport/unique_fd.hpp"

#include <memory>
#include <string>

namespace boragestand::transport
{

/// One accepted connection of an http1_server.
class http1_connection : public std::enable_shared_from_this<http1_connection>
{
public:
    /// Callbacks to the server that owns the connection.
    struct callbacks
    {
        http1_server::handler handle;
        std::function<void(http1_connection*)> closed;
    };

    http1_connection(main_loop& loop, timer_service& timers, unique_fd fd,
                     const endpoint& peer, const http1_limits& limits,
                     http1_counters& counters, callbacks server_callbacks);
    ~http1_connection();

    /// Starts to receive requests.
    void open();

    /// Closes the socket and calls callbacks::closed.
    void close();

    /// Whether a request is being handled or a response is not fully sent.
    bool is_busy() const { return handling_request_ || !unsent_.empty(); }

    /// When bytes last arrived or a response was completed.
    time_point last_active() const { return last_active_; }

private:
    struct parser;

    void handle_ready(readiness ready);
    bool receive();
    void finish_input();
    void parse();
    void dispatch();
    void send_error(int status, const std::string& message);
    void respond(std::uint64_t request, const http_response& response);
    void send(const http_response& response);
    void flush();
    void update_watch();
    void watch(readiness wanted);

    main_loop& loop_;
    timer_service& timers_;
    unique_fd fd_;
    endpoint peer_;
    http1_limits limits_;
    http1_counters& counters_;
    callbacks callbacks_;
    std::unique_ptr<parser> parser_;
    subscription watch_;
    readiness watched_conditions_{readiness::none};
    std::string input_;
    std::string unsent_;
    time_point last_active_;
    std::uint64_t request_number_{0}; ///< number of the latest request
    bool handling_request_{false};
    bool keep_alive_{true};
    bool close_after_send_{false}; ///< close when unsent_ is empty
    bool input_ended_{false};      ///< the peer sends no more
};

} // namespace boragestand::transport
