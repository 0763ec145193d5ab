#pragma once

#include "program.hpp"
#include "response_check.hpp"
#include "tcp_stream.hpp"
#include "timer_queue.hpp"
#include "wire.hpp"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace boragestand::standins
{

/// Number and size of the requests of a flow.
struct work_settings
{
    std::uint32_t work_ms{5};
    std::uint32_t bytes{500};
    std::uint32_t requests{1}; ///< sent in sequence on the same flow
    duration think_time{0};    ///< pause between requests
};

/// Settings of one caller process.
struct caller_settings
{
    std::string service;
    transport::endpoint service_address;
    protocol::ip_protocol protocol{protocol::ip_protocol::tcp};
    transport::endpoint local;  ///< UDP endpoint of this process
    transport::endpoint fabric; ///< destination of Geneve datagrams
    std::uint32_t inner_address{0};
    std::uint64_t flows{100};
    double rate{100}; ///< new flows per second
    double long_share{0};
    work_settings short_work;
    work_settings long_work;
    bool mark_class{true}; ///< send the class of work in a Geneve option
    std::uint32_t deadline_ms{0};
    duration give_up{0}; ///< flows that take longer are cancelled; 0 disables
    duration flow_limit{
        std::chrono::seconds(30)}; ///< flows that take longer are broken
    std::uint64_t seed{1};
};

/// How a flow ended.
enum class flow_result : std::size_t
{
    completed,
    broken,        ///< reset, unanswered, incomplete or with wrong bytes
    wrong_service, ///< response of another service
    refused,       ///< RST in answer to the SYN
    shed,          ///< the upstream reported that it did not run it
    cancelled      ///< cancelled by the caller after give_up
};

/// Counters of a caller process.
struct caller_counters
{
    std::uint64_t flows{0};
    std::array<std::uint64_t, 6> results{};
    std::vector<duration> short_latencies; ///< of completed flows
    std::vector<duration> long_latencies;

    std::uint64_t count(flow_result result) const
    {
        return results[static_cast<std::size_t>(result)];
    }
};

/// Opens flows at a rate, sends requests and checks the responses.
class caller
{
public:
    /// Calls finished when all flows have ended.
    caller(program& host, const caller_settings& settings,
           std::function<void()> finished);

    const caller_counters& counters() const { return counters_; }

    /// Number of flows without a result.
    std::uint64_t open_flows() const { return open_flows_; }

private:
    struct flow
    {
        transport::endpoint source;
        work_settings work;
        bool is_long{false};
        std::uint32_t requests_sent{0};
        time_point opened;
        std::optional<tcp_stream> stream; ///< none for UDP
        std::optional<response_check> check;
        duration retry_delay{std::chrono::milliseconds(300)};
        time_point next_action; ///< time of the retry, next request or removal
        bool has_result{false};
    };

    using flow_map = std::map<transport::endpoint, flow>;

    void open_due_flows(time_point now);
    void open_flow(time_point now);
    void receive();
    void handle_response_bytes(flow& current, std::string_view bytes,
                               time_point now);
    void advance(flow& current, time_point now);
    void send_or_retry_request(flow& current, time_point now);
    void start_request(flow& current, time_point now);
    void end_flow(flow& current, flow_result result, time_point now);
    void log_flow_end(const flow& current, flow_result result,
                      time_point now) const;
    void check_stream(flow& current, time_point now);
    void process_due_flows(time_point now);
    void send(const flow& current,
              std::variant<tcp_segment, udp_payload> content);

    program& host_;
    caller_settings settings_;
    std::function<void()> finished_;
    random_generator random_;
    transport::udp_socket socket_;
    time_point started_;
    std::uint64_t next_request_;
    std::uint64_t open_flows_{0};
    flow_map flows_;
    timer_queue<transport::endpoint> timers_;
    caller_counters counters_;
    std::vector<transport::subscription> subscriptions_;
};

} // namespace boragestand::standins
