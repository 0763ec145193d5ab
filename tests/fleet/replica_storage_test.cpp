#include "../support/crash_disk.hpp"
#include "fleet/fleet.hpp"

#include <gtest/gtest.h>

namespace boragestand::replica
{

namespace
{

using namespace std::chrono_literals;
using testing::crash_disk;

constexpr std::uint64_t interval = 2 * 1024 * 1024;
constexpr std::uint64_t segment_size = interval / 8;
constexpr std::size_t document_size = 230 * 1024;
constexpr replica_id self{1};
constexpr transport::endpoint own_address{0x7f000001, 1};
constexpr replica_id other{2};
constexpr transport::endpoint other_address{0x7f000001, 9};
constexpr duration election_timeout = 100ms;

/// Keeps the newest command, as a plan register does.
class newest_command final : public state_machine
{
public:
    result<void> apply(const protocol::log_entry& entry) override
    {
        value_ = entry.data;
        return {};
    }
    std::string snapshot() const override { return value_; }
    result<void> restore(const std::string& data) override
    {
        value_ = data;
        return {};
    }
    void finish_step() override {}

    const std::string& value() const { return value_; }

private:
    std::string value_;
};

class quiet_log final : public replica_log
{
public:
    void started(replica_id, const state::log_recovery& recovery) override
    {
        recovered = recovery.entries.size();
    }
    void founded(const protocol::replica_group&) override {}
    void role_changed(const agreement::role_changed&) override {}
    void group_changed(const protocol::log_entry&) override {}
    void snapshot_stored(const protocol::agreement_snapshot&, bool) override {}
    void disk_replaced(replica_id, replica_id) override {}
    void request_failed(std::string_view, const error&) override {}
    void bad_input(std::string_view, const error&, const transport::endpoint&,
                   time_point) override
    {
    }
    void storage_full(const error&, time_point) override { ++times_full; }
    void failed(const error&) override { ++failures; }

    std::size_t recovered{0};
    int times_full{0};
    int failures{0};
};

/// One replica on a disk in memory; the only voter unless others are given.
class replica_storage : public ::testing::Test
{
protected:
    void start(storage_reserve reserve = {},
               std::vector<protocol::replica> others = {})
    {
        auto files = std::make_unique<crash_disk>();
        others.insert(others.begin(), {self, own_address, true});
        ASSERT_TRUE(state::hard_state_store(*files).create(self));
        ASSERT_TRUE(state::snapshot_store(*files).save({{}, {others, {}}, {}}));
        run(std::move(files), reserve);
    }

    void run(std::unique_ptr<crash_disk> files, storage_reserve reserve)
    {
        files_ = files.get();
        agreement::agreement_settings settings;
        settings.first_election_timeout = 20ms;
        settings.election_timeout = election_timeout;
        settings.heartbeat_interval = 20ms;
        settings.snapshot_interval_bytes = interval;
        auto disk = replica_disk::open(std::move(files), segment_size);
        ASSERT_TRUE(disk) << disk.error().message;
        runner_.emplace(
            std::move(*disk), own_address, 7,
            replica_runner::parts{timers_, peers_, machine_, log_}, settings,
            [](const error&) {}, reserve);
        ASSERT_TRUE(runner_->start());
    }

    // Restarts on what the disk keeps over a power failure.
    void lose_power()
    {
        auto files = std::make_unique<crash_disk>(*files_);
        runner_.reset();
        files->lose_unsynced();
        run(std::move(files), {});
    }

    void lead() { run_until_leading(true); }

    void run_until_leading(bool leading)
    {
        const auto guard =
            timers_.after(10s, [this](time_point) { loop_.quit(); });
        const auto check =
            timers_.every(1ms,
                          [this, leading](time_point)
                          {
                              if (runner_->is_leader() == leading)
                              {
                                  loop_.quit();
                              }
                          });
        loop_.run();
        ASSERT_EQ(runner_->is_leader(), leading);
    }

    void receive_from_other(protocol::agreement_message message,
                            std::uint64_t term)
    {
        runner_->receive(
            {other, self, other_address, term, std::move(message)});
    }

    // Leads with the votes of the other replica and its answer to the first
    // entry.
    void lead_with_other()
    {
        const auto vote = timers_.every(
            1ms,
            [this](time_point)
            {
                using agreement::agreement_role;
                const auto& node = runner_->node();
                const bool before =
                    node.role() == agreement_role::pre_candidate;
                if (before || node.role() == agreement_role::candidate)
                {
                    receive_from_other(protocol::vote_reply{before, true},
                                       node.term() + (before ? 1 : 0));
                }
            });
        lead();
        confirm();
    }

    // The other replica stores all entries.
    void confirm()
    {
        const auto& node = runner_->node();
        receive_from_other(
            protocol::append_reply{true, node.last().index, 0, 0}, node.term());
    }

    result<std::uint64_t> submit(const std::string& command)
    {
        result<std::uint64_t> outcome =
            failure(error_kind::internal, "not answered");
        runner_->submit(command,
                        [&outcome](const auto& index) { outcome = index; });
        return outcome;
    }

    static std::string document(int number)
    {
        return std::string(document_size, 'x') + std::to_string(number);
    }

    transport::main_loop loop_;
    transport::timer_service timers_{loop_};
    peer_link peers_{loop_, timers_};
    newest_command machine_;
    quiet_log log_;
    std::optional<replica_runner> runner_;
    crash_disk* files_{nullptr};
};

} // namespace

// Guards against a log that is truncated by the count of its entries alone:
// 578 changes of a document of 230 KB filled a disk of 128 MB, and a start then
// exceeded 256 MB of memory.
TEST_F(replica_storage, bounds_bytes_on_disk_and_in_memory_over_many_changes)
{
    start();
    lead();
    std::uint64_t most_on_disk = 0;
    std::uint64_t most_in_memory = 0;
    for (int number = 0; number < 2000; ++number)
    {
        ASSERT_TRUE(submit(document(number)));
        most_on_disk = std::max(most_on_disk, files_->used());
        most_in_memory = std::max(most_in_memory, runner_->node().log_bytes());
    }
    EXPECT_LT(most_in_memory, interval + 2 * document_size);
    // Entries, a segment that is not full yet, and two snapshots.
    EXPECT_LT(most_on_disk, interval + segment_size + 4 * document_size);
    RecordProperty("most_on_disk", std::to_string(most_on_disk));
    RecordProperty("most_in_memory", std::to_string(most_in_memory));

    lose_power();
    EXPECT_LE(log_.recovered, interval / document_size + 1);
    lead();
    EXPECT_EQ(machine_.value(), document(1999));
}

// Guards against a process that ends when its disk is full, acknowledges what
// is not stored, or stays read-only after space was freed.
TEST_F(replica_storage, survives_a_full_disk_and_resumes)
{
    start();
    lead();
    ASSERT_TRUE(submit("first"));
    files_->set_capacity(files_->used() + document_size / 2);
    EXPECT_FALSE(submit(document(2)));
    EXPECT_FALSE(runner_->is_leader()) << "a leader that cannot write goes on";
    EXPECT_EQ(machine_.value(), "first") << "committed state must stay";
    EXPECT_EQ(log_.failures, 0);
    EXPECT_GT(log_.times_full, 0);

    files_->set_capacity(std::uint64_t{1} << 30U);
    lead();
    ASSERT_TRUE(submit("third"));
    lose_power();
    lead();
    EXPECT_EQ(machine_.value(), "third");
}

// Guards against a disk that is filled up to the last byte by plans, so that
// neither votes nor evacuations can be stored any more.
TEST_F(replica_storage, refuses_large_changes_while_the_reserve_is_needed)
{
    start({interval});
    lead();
    files_->set_capacity(files_->used() + interval / 2);
    const auto refused = submit(document(1));
    ASSERT_FALSE(refused);
    EXPECT_EQ(refused.error().kind, error_kind::storage_full);
    EXPECT_NE(refused.error().message.find("bytes left"), std::string::npos);
    EXPECT_TRUE(runner_->is_leader()) << "the only voter has no successor";
    ASSERT_TRUE(submit("small"));
    files_->set_capacity(files_->used() + 2 * interval);
    EXPECT_TRUE(submit(document(2)));
}

// Guards against a follower that acknowledges entries that it has no room for,
// and against one that loses contact with the leader because of them.
TEST_F(replica_storage, follower_without_room_stores_no_large_entries)
{
    constexpr replica_id leader{2};
    const transport::endpoint address{0x7f000001, 9};
    start({interval}, {{leader, address, true}});
    files_->set_capacity(files_->used() + interval / 4);
    using protocol::entry_kind;
    const protocol::append_request request{
        {},
        0,
        1,
        {{1, 5, entry_kind::empty, {}},
         {2, 5, entry_kind::command, document(1)},
         {3, 5, entry_kind::command, "small"}}};
    runner_->receive({leader, self, address, 5, request});
    EXPECT_EQ(runner_->node().last().index, 1U);
    EXPECT_EQ(runner_->node().leader(), leader);

    files_->set_capacity(files_->used() + interval);
    runner_->receive({leader, self, address, 5, request});
    EXPECT_EQ(runner_->node().last().index, 3U);
}

// Guards against a follower without room that counts as current, so that entry
// instances stay with it and confirm a plan that has been replaced.
TEST_F(replica_storage, follower_without_room_is_not_caught_up)
{
    constexpr replica_id leader{2};
    const transport::endpoint address{0x7f000001, 9};
    start({interval}, {{leader, address, true}});
    using protocol::entry_kind;
    const auto append = [&](std::uint64_t commit)
    {
        runner_->receive({leader, self, address, 5,
                          protocol::append_request{
                              {},
                              commit,
                              1,
                              {{1, 5, entry_kind::empty, {}},
                               {2, 5, entry_kind::command, document(1)}}}});
    };
    files_->set_capacity(files_->used() + interval / 4);
    append(1);
    EXPECT_TRUE(runner_->node().is_caught_up(timers_.now()));
    append(2);
    const auto later = timers_.now() + election_timeout;
    EXPECT_FALSE(runner_->node().is_caught_up(later));

    files_->set_capacity(files_->used() + interval);
    append(2);
    EXPECT_TRUE(runner_->node().is_caught_up(timers_.now()));
}

// Guards against a leader that refuses changes for as long as its disk is full
// because it has transferred leadership a short time before, for the same
// reason, although its disk has had room in between.
TEST_F(replica_storage, transfers_leadership_each_time_its_disk_fills_up)
{
    start({interval}, {{other, other_address, true}});
    for (int round = 0; round < 2; ++round)
    {
        lead_with_other();
        runner_->submit("accepted", [](const auto&) {});
        confirm();
        files_->set_capacity(files_->used() + interval / 2);
        const auto refused = submit(document(round));
        ASSERT_FALSE(refused);
        EXPECT_EQ(refused.error().kind, error_kind::storage_full);
        files_->set_capacity(std::uint64_t{1} << 30U);
        const auto next = submit(document(round));
        ASSERT_FALSE(next);
        EXPECT_EQ(next.error().kind, error_kind::not_leader) << round;
        run_until_leading(false);
    }
}

// Guards against a vote that is lost in a power failure after it was granted:
// a replica that cannot store it must forget it.
TEST_F(replica_storage, forgets_a_vote_that_it_cannot_store)
{
    constexpr replica_id candidate{2};
    const transport::endpoint address{0x7f000001, 9};
    start({}, {{candidate, address, true}});
    files_->set_capacity(files_->used());
    runner_->receive({candidate, self, address, 5,
                      protocol::vote_request{false, true, {9, 4}}});
    EXPECT_EQ(runner_->node().term(), 0U);
    EXPECT_EQ(log_.failures, 0);
}

} // namespace boragestand::replica
