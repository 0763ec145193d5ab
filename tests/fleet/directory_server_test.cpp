#include "fleet/fleet.hpp"
#include "recorded_exchange.hpp"

#include <gtest/gtest.h>

#include <thread>

namespace boragestand::fleet
{

namespace
{

using namespace std::chrono_literals;

class directory_server_test : public testing::Test
{
protected:
    void add_upstream(std::uint64_t id)
    {
        coordination::registered_upstream record;
        record.id = id;
        record.service = "desk";
        record.address = {static_cast<std::uint32_t>(id), 80};
        record.incarnation = record.sequence = 1;
        registry_.apply(record, timers_.now());
        registry_.record_direct_heartbeat(id, timers_.now());
    }

    /// The answer to a control instance that has nothing yet.
    coordination::directory_reply ask()
    {
        coordination::directory_request request;
        request.from_replica = true;
        request.sender = {1, 2};
        transport::http_request message;
        message.method = "POST";
        message.path = "/v1/directory";
        message.body = coordination::encode_message(request);
        const auto exchange = std::make_shared<recorded_exchange>();
        EXPECT_TRUE(server_.handle(message, exchange));
        return *coordination::decode_directory_reply(
            exchange->response()->body);
    }

    transport::main_loop loop_;
    transport::timer_service timers_{loop_};
    coordination::upstream_registry registry_;
    directory_server server_{
        registry_, timers_, 7,
        []
        {
            return directory_server::view{
                false, std::make_shared<state::routing_plan>(), {}};
        }};
};

} // namespace

// Guards against heartbeats that are listed with every reply, and against an
// upstream that is taken for lost because one list was.
TEST_F(directory_server_test, lists_heartbeats_once_a_second_and_again)
{
    add_upstream(1);
    std::this_thread::sleep_for(300ms);
    EXPECT_EQ(ask().refreshes.size(), 1U);
    EXPECT_EQ(ask().refreshes.size(), 0U);
    std::this_thread::sleep_for(refresh_interval + 50ms);
    // The reply is taken for lost: the next list holds the heartbeat again.
    EXPECT_EQ(ask().refreshes.size(), 1U);
}

// Guards against a reply that takes longer on a small link than its receiver
// waits for it.
TEST_F(directory_server_test, sends_no_more_than_a_page)
{
    for (std::uint64_t id = 1; id <= directory_page_size + 1; ++id)
    {
        add_upstream(id);
    }
    const auto reply = ask();
    EXPECT_EQ(reply.upstreams.size(), directory_page_size);
    EXPECT_TRUE(reply.has_more);
    EXPECT_LT(reply.cursor, registry_.cursor());
    EXPECT_LT(coordination::encode_message(reply).size(), 30000U);
}

} // namespace boragestand::fleet
