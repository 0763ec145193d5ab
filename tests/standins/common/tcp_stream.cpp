#include "tcp_stream.hpp"

#include <algorithm>
#include <utility>

namespace boragestand::standins
{

namespace
{

constexpr std::size_t segment_size = 1200;

// Limit of the bytes in flight. Larger windows overflow the socket buffers of
// the loopback path when many flows send at once.
constexpr std::size_t window_size = 16 * segment_size;

constexpr std::size_t max_out_of_order_segments = 64;

std::int32_t distance(std::uint32_t from, std::uint32_t to)
{
    return static_cast<std::int32_t>(to - from);
}

} // namespace

tcp_stream::tcp_stream(state initial, std::uint32_t first_sequence,
                       const limits& settings)
    : state_(initial)
    , limits_(settings)
    , unacknowledged_(first_sequence)
    , recover_(first_sequence)
    , timeout_(settings.initial_timeout)
{
}

tcp_stream tcp_stream::connect(std::uint32_t first_sequence, time_point now,
                               const limits& settings)
{
    tcp_stream stream(state::syn_sent, first_sequence, settings);
    stream.emit_handshake();
    stream.restart_retransmission_timer(now);
    return stream;
}

tcp_stream tcp_stream::accept(const tcp_segment& syn,
                              std::uint32_t first_sequence, time_point now,
                              const limits& settings)
{
    tcp_stream stream(state::syn_received, first_sequence, settings);
    stream.expected_ = syn.sequence + 1;
    stream.emit_handshake();
    stream.restart_retransmission_timer(now);
    return stream;
}

void tcp_stream::end(state final_state)
{
    state_ = final_state;
    deadline_.reset();
    buffer_.clear();
    sent_ = 0;
}

void tcp_stream::emit(tcp_segment segment)
{
    if (segment.ack)
    {
        segment.acknowledgement = expected_;
    }
    output_.push_back(std::move(segment));
}

void tcp_stream::emit_handshake()
{
    tcp_segment segment;
    segment.syn = true;
    segment.ack = state_ == state::syn_received;
    segment.sequence = unacknowledged_;
    emit(std::move(segment));
}

// Sends one segment of the buffer from the offset on, with FIN if it is the
// last.
void tcp_stream::emit_data(std::size_t offset)
{
    tcp_segment segment;
    segment.ack = true;
    segment.sequence = unacknowledged_ + static_cast<std::uint32_t>(offset);
    segment.payload = buffer_.substr(offset, segment_size);
    segment.fin = closing_ && offset + segment.payload.size() == buffer_.size();
    fin_sent_ = fin_sent_ || segment.fin;
    emit(std::move(segment));
}

std::uint32_t tcp_stream::next_sequence() const
{
    return unacknowledged_ + static_cast<std::uint32_t>(sent_) +
           (fin_sent_ && !fin_acknowledged_ ? 1 : 0);
}

bool tcp_stream::has_data_in_flight() const
{
    return state_ < state::established || sent_ > 0 ||
           (fin_sent_ && !fin_acknowledged_);
}

void tcp_stream::restart_retransmission_timer(time_point now)
{
    deadline_.reset();
    if (is_alive() && has_data_in_flight())
    {
        deadline_ = now + timeout_;
    }
}

void tcp_stream::receive(const tcp_segment& segment, time_point now)
{
    if (!is_alive())
    {
        return;
    }
    if (segment.rst)
    {
        receive_reset(segment);
        return;
    }
    if (state_ != state::established)
    {
        receive_handshake(segment, now);
    }
    if (state_ != state::established)
    {
        return;
    }
    receive_acknowledgement(segment, now);
    receive_payload(segment);
}

void tcp_stream::receive_reset(const tcp_segment& segment)
{
    if (state_ == state::syn_sent)
    {
        if (segment.ack && segment.acknowledgement == unacknowledged_ + 1)
        {
            end(state::refused);
        }
        return;
    }
    const std::int32_t ahead = distance(expected_, segment.sequence);
    if (ahead >= 0 && ahead < static_cast<std::int32_t>(window_size))
    {
        end(state::reset);
    }
}

void tcp_stream::receive_handshake(const tcp_segment& segment, time_point now)
{
    if (state_ == state::syn_received && segment.syn)
    {
        emit_handshake();
        return;
    }
    const bool acknowledged =
        segment.ack && segment.acknowledgement == unacknowledged_ + 1;
    // Data may arrive before the ACK that completes the handshake.
    const bool acknowledged_later =
        state_ == state::syn_received && segment.ack &&
        distance(unacknowledged_, segment.acknowledgement) > 0;
    if ((!acknowledged && !acknowledged_later) ||
        (state_ == state::syn_sent && !segment.syn))
    {
        return;
    }
    if (state_ == state::syn_sent)
    {
        expected_ = segment.sequence + 1;
    }
    state_ = state::established;
    ++unacknowledged_;
    recover_ = unacknowledged_;
    retransmissions_ = 0;
    timeout_ = limits_.initial_timeout;
    restart_retransmission_timer(now);
    send_pending(now);
}

void tcp_stream::receive_acknowledgement(const tcp_segment& segment,
                                         time_point now)
{
    const std::int32_t acknowledged =
        distance(unacknowledged_, segment.acknowledgement);
    if (!segment.ack || acknowledged <= 0 ||
        acknowledged > distance(unacknowledged_, next_sequence()))
    {
        return;
    }
    const std::size_t bytes =
        std::min(static_cast<std::size_t>(acknowledged), sent_);
    fin_acknowledged_ =
        fin_acknowledged_ || static_cast<std::size_t>(acknowledged) > bytes;
    buffer_.erase(0, bytes);
    sent_ -= bytes;
    unacknowledged_ = segment.acknowledgement;
    retransmissions_ = 0;
    timeout_ = limits_.initial_timeout;
    // Retransmits the other segments of one loss without another timeout.
    if (distance(unacknowledged_, recover_) > 0 && has_data_in_flight())
    {
        emit_data(0);
    }
    restart_retransmission_timer(now);
    send_pending(now);
}

void tcp_stream::receive_payload(const tcp_segment& segment)
{
    const bool takes_sequence =
        segment.syn || segment.fin || !segment.payload.empty();
    if (!takes_sequence)
    {
        return;
    }
    const std::int32_t ahead = distance(expected_, segment.sequence);
    if (!segment.syn && ahead < static_cast<std::int32_t>(2 * window_size) &&
        out_of_order_.size() < max_out_of_order_segments)
    {
        out_of_order_.insert_or_assign(segment.sequence, segment);
        reassemble();
    }
    tcp_segment answer;
    answer.ack = true;
    answer.sequence = next_sequence();
    emit(std::move(answer));
}

void tcp_stream::reassemble()
{
    bool advanced = true;
    while (advanced && !closed_by_peer_)
    {
        advanced = false;
        for (const auto& [sequence, part] : out_of_order_)
        {
            const std::int32_t known = distance(sequence, expected_);
            const auto size = static_cast<std::int32_t>(part.payload.size());
            if (known < 0 || known > size || (known == size && !part.fin))
            {
                continue;
            }
            received_.append(part.payload, static_cast<std::size_t>(known));
            expected_ += static_cast<std::uint32_t>(size - known);
            closed_by_peer_ = part.fin;
            expected_ += part.fin ? 1 : 0;
            advanced = true;
            break;
        }
    }
    std::erase_if(out_of_order_,
                  [this](const auto& entry)
                  {
                      const auto end =
                          entry.first + static_cast<std::uint32_t>(
                                            entry.second.payload.size());
                      return distance(end, expected_) >= 0;
                  });
}

void tcp_stream::send_pending(time_point now)
{
    if (state_ != state::established)
    {
        return;
    }
    const bool was_idle = !has_data_in_flight();
    while (sent_ < buffer_.size() && sent_ < window_size)
    {
        const std::size_t offset = sent_;
        sent_ = std::min(buffer_.size(), offset + segment_size);
        emit_data(offset);
    }
    if (closing_ && !fin_sent_ && sent_ == buffer_.size())
    {
        emit_data(sent_);
    }
    if (was_idle)
    {
        restart_retransmission_timer(now);
    }
}

void tcp_stream::check_timeout(time_point now)
{
    if (!deadline_ || now < *deadline_)
    {
        return;
    }
    if (++retransmissions_ > limits_.max_retransmissions)
    {
        end(state::lost);
        return;
    }
    recover_ = next_sequence();
    if (state_ == state::established)
    {
        emit_data(0);
    }
    else
    {
        emit_handshake();
    }
    timeout_ = std::min(2 * timeout_, limits_.max_timeout);
    restart_retransmission_timer(now);
}

void tcp_stream::send(std::string_view bytes, time_point now)
{
    if (!is_alive() || closing_)
    {
        return;
    }
    buffer_.append(bytes);
    send_pending(now);
}

void tcp_stream::close(time_point now)
{
    closing_ = true;
    send_pending(now);
}

void tcp_stream::abort()
{
    if (!is_alive())
    {
        return;
    }
    tcp_segment segment;
    segment.rst = true;
    segment.ack = true;
    segment.sequence = next_sequence();
    emit(std::move(segment));
    end(state::reset);
}

std::string tcp_stream::take_received()
{
    return std::exchange(received_, {});
}

std::vector<tcp_segment> tcp_stream::take_output()
{
    return std::exchange(output_, {});
}

} // namespace boragestand::standins
