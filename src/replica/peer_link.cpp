#include "replica/peer_link.hpp"

namespace boragestand::replica
{

namespace
{

constexpr duration message_timeout = std::chrono::seconds(1);

// Messages that wait for an answer of one peer; further ones are dropped, so
// that a peer that hangs holds a bounded amount of memory.
constexpr std::size_t max_unanswered_messages = 64;

} // namespace

peer_link::peer_link(transport::main_loop& loop,
                     transport::timer_service& timers)
    : loop_(loop), timers_(timers)
{
}

peer_link::peer& peer_link::peer_at(const transport::endpoint& address)
{
    auto& found = peers_[address];
    if (!found.client)
    {
        found.client =
            std::make_unique<transport::http2_client>(loop_, timers_, address);
    }
    return found;
}

void peer_link::send(const agreement::send_message& message)
{
    auto& target = peer_at(message.address);
    if (target.unanswered >= max_unanswered_messages)
    {
        return;
    }
    ++target.unanswered;
    target.client->request(
        {.method = "POST",
         .path = "/v1/peer",
         .headers = {},
         .body = protocol::encode_agreement_message(message.envelope)},
        message_timeout,
        [&target](const result<transport::http_response>&)
        { --target.unanswered; });
}

void peer_link::request(const transport::endpoint& address,
                        transport::http_request request, duration timeout,
                        transport::http2_client::response_callback callback)
{
    peer_at(address).client->request(std::move(request), timeout,
                                     std::move(callback));
}

} // namespace boragestand::replica
