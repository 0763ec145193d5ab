#pragma once

#include "announcer.hpp"
#include "program.hpp"
#include "request_runner.hpp"
#include "tcp_stream.hpp"
#include "timer_queue.hpp"
#include "wire.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace boragestand::standins
{

/// Settings of one upstream.
struct upstream_settings
{
    announcement content;
    transport::endpoint service_address; ///< inner destination address
    transport::endpoint returns;         ///< fabric endpoint towards callers
    std::vector<transport::endpoint> entries; ///< HTTP/2 of entry instances
    runner_settings runner;
    std::uint16_t http_port{8080};
    duration load_lag{0};
    std::optional<std::uint32_t> false_load;
    bool false_health{false};
    duration drain_minimum{std::chrono::seconds(2)};
    duration drain_limit{std::chrono::seconds(60)};
};

/// Flow counters of one upstream.
struct upstream_counters
{
    std::uint64_t flows{0};
    std::uint64_t foreign_requests{0}; ///< addressed to another service
    std::uint64_t foreign_packets{0};  ///< to another service address
    std::uint64_t unknown_flow{0};     ///< answered with RST, as a host does
    std::uint64_t late_flows{0}; ///< opened more than 2 s after the drain began
    std::uint64_t dropped_syns{0}; ///< above the announced connections
    std::uint64_t cut_flows{0};    ///< still open at the drain limit
};

/// An upstream of one service: decapsulates Geneve, answers callers over TCP or
/// UDP, announces itself and drains.
class upstream
{
public:
    upstream(program& host, const upstream_settings& settings);

    /// Drains, withdraws and calls back when no flow is left or the drain limit
    /// has passed.
    void stop(std::function<void()> stopped);

    /// Whether an entry instance has accepted the announcement.
    bool is_announced() const { return announcer_.is_announced(); }

    const upstream_counters& counters() const { return counters_; }
    const runner_counters& requests() const { return runner_.counters(); }

private:
    struct connection
    {
        std::uint64_t number{0};
        tcp_stream stream;
        std::string input;
        std::optional<request> current;
        std::uint64_t run_id{0};
        std::uint32_t sent{0}; ///< bytes of the response body
    };

    struct cached_response
    {
        std::uint64_t run_id{0};
        std::string bytes; ///< empty while the request runs
    };

    void receive();
    void handle(const inner_packet& packet, const tcp_segment& segment);
    void handle(const inner_packet& packet, const udp_payload& payload);
    void accept_connection(const inner_packet& packet, const tcp_segment& syn);
    void reset_unknown_flow(const inner_packet& packet,
                            const tcp_segment& segment);
    void advance(const transport::endpoint& caller);
    void start_next_request(const transport::endpoint& caller,
                            connection& flow);
    void send_body_until(const transport::endpoint& caller,
                         std::uint64_t number, double share);
    void end_request(const transport::endpoint& caller, std::uint64_t number,
                     outcome result);
    connection* find_connection(const transport::endpoint& caller,
                                std::uint64_t number);
    response_head make_response_head(const request& requested,
                                     outcome result) const;
    void count_if_foreign(const request& requested);
    void send(const transport::endpoint& caller,
              std::variant<tcp_segment, udp_payload> content);
    void check_timeouts(time_point now);
    void withdraw_if_drained(time_point now);
    void start_http_server();
    transport::http_response make_http_response(const std::string& path) const;

    program& host_;
    upstream_settings settings_;
    transport::udp_socket socket_;
    request_runner runner_;
    std::map<transport::endpoint, connection> connections_;
    std::map<std::uint64_t, cached_response> udp_responses_;
    timer_queue<transport::endpoint> timers_;
    std::uint64_t next_number_{1};
    std::uint32_t reported_open_{0};
    std::uint32_t reported_running_{0};
    std::optional<time_point> drain_start_;
    std::function<void()> stopped_;
    upstream_counters counters_;
    std::unique_ptr<transport::http2_server> http_;
    announcer announcer_;
    std::vector<transport::subscription> subscriptions_;
    transport::subscription drain_check_;
};

} // namespace boragestand::standins
