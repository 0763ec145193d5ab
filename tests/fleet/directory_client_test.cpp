#include "fleet/fleet.hpp"

#include <gtest/gtest.h>

#include <optional>
#include <thread>

namespace boragestand::fleet
{

namespace
{

using namespace std::chrono_literals;

/// A directory client and a control instance that this test scripts.
class directory_client_test : public testing::Test
{
protected:
    void serve(std::function<coordination::directory_reply()> make_reply)
    {
        auto listening = transport::http2_server::listen(
            loop_, {0x7f000001, 0},
            [make_reply = std::move(make_reply)](
                const transport::http_request&,
                const std::shared_ptr<transport::http_exchange>& exchange)
            {
                exchange->respond(
                    {.status = 200,
                     .headers = {},
                     .body = coordination::encode_message(make_reply())});
            });
        ASSERT_TRUE(listening) << listening.error().message;
        server_ = std::move(*listening);
        client_.emplace(loop_, timers_, server_->local_endpoint(),
                        directory_client::hooks{
                            [] { return coordination::directory_request{}; },
                            [this](const directory_update& update)
                            {
                                received_.push_back(update);
                                received_at_.push_back(timers_.now());
                            },
                            [](const error&)
                            {
                                return true;
                            }});
    }

    void run_until_received(std::size_t count)
    {
        const auto check = timers_.every(5ms,
                                         [&](time_point)
                                         {
                                             if (received_.size() >= count)
                                             {
                                                 client_->stop();
                                                 loop_.quit();
                                             }
                                         });
        const auto limit =
            timers_.after(10s, [this](time_point) { loop_.quit(); });
        client_->start();
        loop_.run();
        ASSERT_GE(received_.size(), count);
    }

    transport::main_loop loop_;
    transport::timer_service timers_{loop_};
    std::unique_ptr<transport::http2_server> server_;
    std::optional<directory_client> client_;
    std::vector<directory_update> received_;
    std::vector<time_point> received_at_;
};

} // namespace

// Guards against a process that was paused and takes a reply that waited in its
// socket for a new one.
TEST_F(directory_client_test, dates_a_reply_by_its_request)
{
    serve(
        []
        {
            std::this_thread::sleep_for(300ms);
            coordination::directory_reply reply;
            reply.epoch = 1;
            return reply;
        });
    run_until_received(1);
    EXPECT_GE(received_at_[0] - received_[0].asked_at, 300ms);
    EXPECT_GE(received_at_[0] - *client_->last_contact(), 300ms);
}

// Guards against a whole directory that is applied before its last page, and
// against pages that are lost.
TEST_F(directory_client_test, joins_the_pages_of_a_whole_directory)
{
    std::uint64_t page = 0;
    serve(
        [&page]
        {
            ++page;
            coordination::directory_reply reply;
            reply.epoch = 1;
            reply.cursor = page;
            reply.has_more = page < 3;
            reply.upstreams.resize(1);
            reply.upstreams[0].id = page;
            return reply;
        });
    run_until_received(4);
    EXPECT_EQ(received_[0].scope, reply_scope::part);
    EXPECT_EQ(received_[1].scope, reply_scope::part);
    EXPECT_EQ(received_[2].scope, reply_scope::whole);
    EXPECT_EQ(received_[3].scope, reply_scope::changes);
    ASSERT_EQ(received_[2].reply.upstreams.size(), 3U);
    EXPECT_EQ(received_[2].reply.upstreams[0].id, 1U);
    EXPECT_EQ(received_[2].reply.upstreams[2].id, 3U);
    EXPECT_EQ(received_[3].reply.upstreams.size(), 1U);
}

} // namespace boragestand::fleet
