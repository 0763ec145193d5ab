#pragma once

#include "base/base.hpp"
#include "tcp_segment.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace boragestand::standins
{

/// One side of a TCP connection: handshake, cumulative acknowledgement,
/// reassembly, retransmission with back-off, FIN and RST. It does no I/O and
/// reads no clock.
class tcp_stream
{
public:
    enum class state
    {
        syn_sent,
        syn_received,
        established,
        refused, ///< RST in answer to the SYN
        reset,   ///< RST after the handshake
        lost     ///< no answer after all retransmissions
    };

    /// Retransmission settings.
    struct limits
    {
        duration initial_timeout{std::chrono::milliseconds(300)};
        duration max_timeout{std::chrono::seconds(2)};
        unsigned max_retransmissions{12};
    };

    /// Opens a connection by sending a SYN.
    static tcp_stream connect(std::uint32_t first_sequence, time_point now,
                              const limits& settings);

    /// Accepts a connection by answering its SYN.
    static tcp_stream accept(const tcp_segment& syn,
                             std::uint32_t first_sequence, time_point now,
                             const limits& settings);

    /// Handles a segment from the peer.
    void receive(const tcp_segment& segment, time_point now);

    /// Retransmits the oldest segment if it was not acknowledged in time.
    void check_timeout(time_point now);

    /// Queues bytes to send.
    void send(std::string_view bytes, time_point now);

    /// Sends FIN after all queued bytes.
    void close(time_point now);

    /// Sends RST and ends the connection.
    void abort();

    /// Returns the bytes that were received in order since the last call.
    std::string take_received();

    /// Returns the segments to send that were queued since the last call.
    std::vector<tcp_segment> take_output();

    /// Time of the next retransmission; empty if nothing is in flight.
    std::optional<time_point> deadline() const { return deadline_; }

    state current_state() const { return state_; }

    /// Whether the connection can still carry bytes.
    bool is_alive() const { return state_ <= state::established; }

    /// Whether the FIN of the peer and all bytes before it have arrived.
    bool is_closed_by_peer() const { return closed_by_peer_; }

    /// Whether both sides have sent FIN and the peer has acknowledged ours.
    bool is_closed() const { return closed_by_peer_ && fin_acknowledged_; }

private:
    tcp_stream(state initial, std::uint32_t first_sequence,
               const limits& settings);

    void end(state final_state);
    void emit(tcp_segment segment);
    void emit_handshake();
    void emit_data(std::size_t offset);
    void receive_handshake(const tcp_segment& segment, time_point now);
    void receive_reset(const tcp_segment& segment);
    void receive_acknowledgement(const tcp_segment& segment, time_point now);
    void receive_payload(const tcp_segment& segment);
    void reassemble();
    void send_pending(time_point now);
    void restart_retransmission_timer(time_point now);
    bool has_data_in_flight() const;
    std::uint32_t next_sequence() const;

    state state_;
    limits limits_;
    std::uint32_t unacknowledged_; ///< lowest sequence number in flight
    std::uint32_t recover_;        ///< end of the data in flight at a timeout
    std::uint32_t expected_{0};    ///< next sequence number from the peer
    std::string buffer_;           ///< bytes from unacknowledged_ on
    std::size_t sent_{0};          ///< bytes of buffer_ sent at least once
    bool closing_{false};
    bool fin_sent_{false};
    bool fin_acknowledged_{false};
    bool closed_by_peer_{false};
    std::map<std::uint32_t, tcp_segment> out_of_order_; ///< by sequence number
    std::string received_;
    std::vector<tcp_segment> output_;
    duration timeout_;
    unsigned retransmissions_{0};
    std::optional<time_point> deadline_;
};

} // namespace boragestand::standins
