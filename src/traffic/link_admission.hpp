#pragma once

#include "traffic/token_router_types.hpp"

#include <map>
#include <unordered_map>

namespace boragestand::traffic
{

/// Rates and limits of link_admission.
struct admission_settings
{
    /// Bytes per second of the link for packets of callers; 0: not limited.
    double rate{0};
    /// Bytes that a packet adds to its data on the link.
    double packet_overhead{68};
    /// A request with more bytes than this is bulk; as in link_settings.
    double bulk_size{6000};
    /// Data after a pause of this length belongs to another request.
    duration request_gap{std::chrono::milliseconds(300)};
    /// A bulk flow without packets for this long is committed no longer:
    /// callers retransmit after 1.6 s at most.
    duration idle_limit{std::chrono::seconds(2)};
    /// A flow is forgotten after this time, like its record in the router.
    duration flow_lifetime{std::chrono::seconds(20)};
    /// Further flows are admitted and not followed.
    std::size_t max_flows{200000};
    /// Objective of routes that state none.
    duration default_target_latency{std::chrono::seconds(1)};
    /// After this time without an empty socket the processor is behind, and
    /// short requests already wait for a quarter of their objective.
    duration behind_limit{std::chrono::milliseconds(100)};
    /// Bulk is refused for this long after the processor was behind.
    duration behind_memory{std::chrono::milliseconds(200)};
};

/// Result of asking for admission.
enum class admission_cause : std::uint8_t
{
    admitted,
    link_committed,  ///< would not be through within the objective
    caller_share,    ///< its caller holds more than its part of a full link
    processor_behind ///< packets wait longer than short requests can
};

/// Name of a cause for logs.
std::string_view to_text(admission_cause cause);

/// An admission or a refusal with its inputs.
struct admission
{
    admission_cause cause{admission_cause::admitted};
    double expected_bytes{0};  ///< of the flow, as learned for its route
    double committed_bytes{0}; ///< still to come of admitted bulk flows
    duration finish{0};        ///< until the flow would be through
    duration limit{0};         ///< within which it must be

    bool is_admitted() const { return cause == admission_cause::admitted; }

    auto operator<=>(const admission&) const = default;
};

/// Decides at the SYN of a bulk flow whether the link can carry it in time. It
/// answers a wave of uploads: if all are let in, they share the link, none is
/// through before its deadline, and the bytes of those that fail take the room
/// of those that could finish. A caller that is refused at once can try through
/// another instance. Flows of routes whose requests are short
/// on average are always admitted, and so is any flow while the link is free.
/// Does no I/O and reads no clock.
class link_admission
{
public:
    explicit link_admission(const admission_settings& settings = {});

    /// Asks for a new flow of a route. A repeated SYN of an admitted flow is
    /// admitted again.
    admission ask(const token_packet& syn, const state::service_route& route,
                  time_point now);

    /// Follows a packet that is forwarded.
    void follow(const token_packet& packet, time_point now);

    /// The socket has not been empty for this long.
    void report_lag(duration lag, time_point now);

    /// The flow was admitted and not forwarded.
    void forget(const token_flow& flow) { flows_.erase(flow); }

    /// Forgets flows that are idle; to be called about once a second.
    void sweep(time_point now);

    /// Bytes still to come of admitted bulk flows.
    double committed_bytes(time_point now) const;

    /// Bytes per second that short requests leave for bulk.
    double bulk_rate(time_point now) const;

    std::uint64_t refused(admission_cause cause) const
    {
        return refused_.at(static_cast<std::size_t>(cause));
    }
    std::uint64_t admitted_bulk() const { return admitted_bulk_; }

private:
    struct flow_state
    {
        std::uint32_t sequence{0};        ///< of the SYN
        double expected{0};               ///< bytes on the link; 0: short
        double sent{0};                   ///< of the request in progress
        std::optional<std::uint32_t> end; ///< sequence after its last data
        std::uint32_t acknowledged{0};    ///< when the request began
        time_point last_packet;
    };

    /// What was learned of the requests of a destination.
    struct learned_size
    {
        double mean{0};
        bool known{false};
    };

    struct flow_hash
    {
        std::size_t operator()(const token_flow& flow) const noexcept;
    };

    double remaining(const flow_state& flow, time_point now) const;
    bool holds_too_much(const token_flow& flow, time_point now) const;
    bool is_behind(time_point now) const;
    void learn(const transport::endpoint& destination, double size);
    void count_short(double bytes, time_point now);
    admission decide(const token_flow& flow, double expected, duration limit,
                     time_point now) const;

    admission_settings settings_;
    std::unordered_map<token_flow, flow_state, flow_hash> flows_;
    std::map<transport::endpoint, learned_size> sizes_;
    double short_rate_{0}; ///< bytes per second of short requests
    time_point short_counted_{};
    std::optional<time_point> behind_at_;
    std::uint64_t admitted_bulk_{0};
    std::array<std::uint64_t, 4> refused_{};
};

} // namespace boragestand::traffic
