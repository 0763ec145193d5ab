#include "../support/crash_disk.hpp"
#include "state/checksummed_file.hpp"
#include "state/state.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

namespace boragestand::state
{

namespace
{

using protocol::agreement_snapshot;
using protocol::entry_kind;
using protocol::log_entry;
using testing::crash_disk;
using testing::simulated_crash;

constexpr std::uint64_t segment_size = 300;

// Throws if a step of the test setup fails.
void require_success(const result<void>& outcome)
{
    if (!outcome)
    {
        throw std::runtime_error(outcome.error().message);
    }
}

std::vector<log_entry> make_entries(std::uint64_t first, std::uint64_t count,
                                    std::uint64_t term)
{
    std::vector<log_entry> list;
    for (std::uint64_t index = first; index < first + count; ++index)
    {
        list.push_back({index, term, entry_kind::command,
                        std::string(40, static_cast<char>('a' + index % 26)) +
                            std::to_string(term)});
    }
    return list;
}

// Expected content of the storage after a set of operations.
struct expected_content
{
    agreement_snapshot snapshot;
    std::vector<log_entry> log;
    hard_state hard;

    void append(const std::vector<log_entry>& added)
    {
        log.resize(added.front().index - snapshot.last.index - 1);
        log.insert(log.end(), added.begin(), added.end());
    }

    // Whether recovery returned this content.
    bool matches(const agreement_snapshot& found,
                 const std::vector<log_entry>& recovered) const
    {
        return found == snapshot && recovered == log;
    }
};

// A storage with a typical sequence of operations of one replica. A recovery
// after a crash must give the acknowledged state or the one that includes the
// interrupted operation (in_progress).
class workload
{
public:
    explicit workload(crash_disk& files) : hard_(files), snapshots_(files)
    {
        require_success(hard_.create(replica_id{7}));
        log_ = durable_log::open(files, {}, recovery_, segment_size).value();
    }

    void run()
    {
        append(make_entries(1, 3, 1));
        vote(2);
        append(make_entries(4, 6, 2));
        append(make_entries(8, 3, 3)); // replaces 8 and 9
        take_snapshot(6);
        append(make_entries(11, 5, 3));
        vote(4);
        install_snapshot(40, 4);
        append(make_entries(41, 4, 4));
        append(make_entries(43, 1, 5));
        take_snapshot(42);
    }

    expected_content acknowledged;
    expected_content in_progress;

private:
    void append(const std::vector<log_entry>& added)
    {
        in_progress.append(added);
        require_success(log_->append(added));
        acknowledged = in_progress;
    }

    void vote(std::uint64_t term)
    {
        in_progress.hard = {replica_id{7}, term, replica_id{term}};
        require_success(hard_.save(in_progress.hard));
        acknowledged = in_progress;
    }

    void take_snapshot(std::uint64_t index)
    {
        auto& log = in_progress.log;
        const auto count = static_cast<std::ptrdiff_t>(
            index - in_progress.snapshot.last.index);
        const auto last = log[static_cast<std::size_t>(count) - 1];
        in_progress.snapshot = {{last.index, last.term}, {}, "state"};
        log.erase(log.begin(), log.begin() + count);
        require_success(snapshots_.save(in_progress.snapshot));
        require_success(log_->compact(index));
        acknowledged = in_progress;
    }

    void install_snapshot(std::uint64_t index, std::uint64_t term)
    {
        in_progress.snapshot = {{index, term}, {}, "installed"};
        in_progress.log.clear();
        require_success(snapshots_.save(in_progress.snapshot));
        require_success(log_->reset({index, term}));
        acknowledged = in_progress;
    }

    hard_state_store hard_;
    snapshot_store snapshots_;
    log_recovery recovery_;
    std::optional<durable_log> log_;
};

struct recovered_storage
{
    agreement_snapshot snapshot;
    log_recovery recovery;
    hard_state hard;
};

result<recovered_storage> recover(crash_disk& files)
{
    recovered_storage found;
    hard_state_store hard(files);
    const auto condition = hard.inspect();
    if (!condition)
    {
        return tl::unexpected(condition.error());
    }
    found.hard = hard.current();
    const auto snapshot = snapshot_store(files).load();
    if (!snapshot)
    {
        return tl::unexpected(snapshot.error());
    }
    found.snapshot = snapshot->value_or(agreement_snapshot{});
    const auto log = durable_log::open(files, found.snapshot.last,
                                       found.recovery, segment_size);
    if (!log)
    {
        return tl::unexpected(log.error());
    }
    return found;
}

} // namespace

// Guards against acknowledged data that a crash loses, against data that was
// never written, and against a crash after which the storage does not open.
TEST(durable_storage, keeps_acknowledged_state_at_each_crash_point)
{
    crash_disk whole;
    workload complete(whole);
    const auto first = whole.operations();
    complete.run();
    const auto last = whole.operations();
    ASSERT_GT(last, first + 40);
    for (std::uint64_t at = 0; at < (last - first) * 8; ++at)
    {
        SCOPED_TRACE("crash point " + std::to_string(at / 8) + " seed " +
                     std::to_string(at));
        crash_disk files(at);
        workload storage(files);
        files.crash_at(at / 8);
        EXPECT_THROW(storage.run(), simulated_crash);
        files.lose_unsynced();

        const auto found = recover(files);
        ASSERT_TRUE(found) << found.error().message;
        const auto& snapshot = found->snapshot;
        const auto& log = found->recovery.entries;
        EXPECT_TRUE(storage.acknowledged.matches(snapshot, log) ||
                    storage.in_progress.matches(snapshot, log));
        EXPECT_GE(found->hard.term, storage.acknowledged.hard.term);
        EXPECT_LE(found->hard.term, storage.in_progress.hard.term);

        // Recovery truncates the torn tail, so a second one finds none.
        const auto again = recover(files);
        ASSERT_TRUE(again);
        EXPECT_EQ(again->recovery.torn_file, "");
        EXPECT_EQ(again->recovery.entries, log);
    }
}

// Guards against a full disk that costs acknowledged data, leaves a log that
// does not open, or loses room to a temporary file that was not completed.
TEST(durable_storage, keeps_acknowledged_state_when_the_disk_fills_up)
{
    std::uint64_t failures = 0;
    for (std::uint64_t capacity = 200; capacity < 3000; capacity += 7)
    {
        SCOPED_TRACE(capacity);
        crash_disk files(capacity);
        workload storage(files);
        files.set_capacity(capacity);
        try
        {
            storage.run();
        }
        catch (const std::runtime_error&)
        {
            ++failures;
        }
        const auto names = files.list().value();
        for (const auto& name : names)
        {
            EXPECT_FALSE(name.ends_with(temporary_suffix)) << name;
        }
        const auto found = recover(files);
        ASSERT_TRUE(found) << found.error().message;
        EXPECT_TRUE(storage.acknowledged.matches(found->snapshot,
                                                 found->recovery.entries) ||
                    storage.in_progress.matches(found->snapshot,
                                                found->recovery.entries));
        EXPECT_GE(found->hard.term, storage.acknowledged.hard.term);
    }
    EXPECT_GT(failures, 100U);
}

// Guards against unsynced data that a killed process left: the next process
// reads it and acts on it, and a power failure then loses it.
TEST(durable_storage, makes_what_it_recovers_durable)
{
    crash_disk whole;
    workload complete(whole);
    const auto first = whole.operations();
    complete.run();
    const auto last = whole.operations();
    for (std::uint64_t at = 0; at < (last - first) * 8; ++at)
    {
        SCOPED_TRACE("crash point " + std::to_string(at / 8) + " seed " +
                     std::to_string(at));
        crash_disk files(at);
        workload storage(files);
        files.crash_at(at / 8);
        EXPECT_THROW(storage.run(), simulated_crash);
        files.cancel_crash();

        const auto after_kill = recover(files);
        ASSERT_TRUE(after_kill) << after_kill.error().message;
        files.lose_unsynced();
        const auto after_power_loss = recover(files);
        ASSERT_TRUE(after_power_loss) << after_power_loss.error().message;
        EXPECT_EQ(after_power_loss->snapshot, after_kill->snapshot);
        EXPECT_EQ(after_power_loss->recovery.entries,
                  after_kill->recovery.entries);
        EXPECT_EQ(after_power_loss->hard, after_kill->hard);
    }
}

// Guards against a snapshot that was installed without the reset of the log, by
// a kill or a full disk between the two: entries that are then acknowledged
// follow the old ones on disk, which a later start took for damage, or for an
// old log that the snapshot replaces.
TEST(durable_storage, goes_on_after_a_snapshot_whose_reset_is_missing)
{
    for (const protocol::log_position installed :
         {protocol::log_position{10, 2}, protocol::log_position{2, 2}})
    {
        SCOPED_TRACE("snapshot at " + std::to_string(installed.index));
        crash_disk files;
        hard_state_store hard(files);
        require_success(hard.create(replica_id{7}));
        {
            log_recovery before;
            auto log = durable_log::open(files, {}, before, segment_size);
            require_success(log->append(make_entries(1, 3, 1)));
        }
        require_success(snapshot_store(files).save({installed, {}, "state"}));

        log_recovery recovery;
        auto log = durable_log::open(files, installed, recovery, segment_size);
        ASSERT_TRUE(log);
        EXPECT_TRUE(recovery.entries.empty());
        const auto next = make_entries(installed.index + 1, 2, 2);
        require_success(log->append(next));

        const auto later = recover(files);
        ASSERT_TRUE(later) << later.error().message;
        EXPECT_EQ(later->recovery.entries, next);
    }
}

// Guards against corruption that recovery mistakes for a torn tail and
// truncates.
TEST(durable_storage, refuses_every_changed_byte_and_keeps_the_file)
{
    crash_disk files;
    workload(files).run();
    const auto names = files.list().value();
    for (const auto& name : names)
    {
        const auto original = files.read(name).value();
        for (std::size_t at = 0; at < original.size(); ++at)
        {
            SCOPED_TRACE(name + " byte " + std::to_string(at));
            files.edit(name, [at](std::string& text) { text[at] ^= 0x20; });
            const auto damaged = files.read(name).value();
            const auto found = recover(files);
            ASSERT_FALSE(found);
            EXPECT_EQ(found.error().kind, error_kind::storage_corrupt);
            EXPECT_NE(found.error().message.find(name), std::string::npos);
            EXPECT_NE(found.error().message.find("at offset"),
                      std::string::npos);
            EXPECT_EQ(files.read(name).value(), damaged);
            files.edit(name, [&](std::string& text) { text = original; });
        }
    }
}

// Guards against an interrupted last write that stops the program, and against
// a repair that goes unreported or removes more than the last record.
TEST(durable_storage, cuts_a_torn_tail_and_reports_it)
{
    crash_disk files;
    workload storage(files);
    storage.run();
    const auto names = files.list().value();
    const auto newest = *std::find_if(names.rbegin(), names.rend(),
                                      [](const std::string& name)
                                      { return name.starts_with("log-"); });
    const auto original = files.read(newest).value();
    const auto last_record = original.rfind("BSR1");
    for (auto size = last_record + 1; size < original.size(); ++size)
    {
        SCOPED_TRACE(size);
        files.edit(newest,
                   [&](std::string& text) { text = original.substr(0, size); });
        const auto found = recover(files);
        ASSERT_TRUE(found) << found.error().message;
        EXPECT_EQ(found->recovery.torn_file, newest);
        EXPECT_EQ(found->recovery.torn_offset, last_record);
        EXPECT_EQ(found->recovery.torn_bytes, size - last_record);
        EXPECT_EQ(files.read(newest).value().size(), last_record);
    }
}

// Guards against a lost disk that is taken for an initialized one, and against
// a damaged one that is taken for a new one, so that the replica votes twice.
TEST(durable_storage, tells_empty_known_and_damaged_directories_apart)
{
    struct fault_case
    {
        const char* name;
        std::vector<std::string> lost;
        std::optional<disk_condition> expected;
    };
    const std::vector<fault_case> cases{
        {"intact", {}, disk_condition::initialized},
        {"all lost",
         {"identity", "hard-state", "log-000000000001.segment"},
         disk_condition::empty},
        {"identity lost", {"identity"}, std::nullopt},
        {"hard state lost", {"hard-state"}, std::nullopt},
        {"both lost, log there", {"identity", "hard-state"}, std::nullopt},
    };
    for (const auto& fault : cases)
    {
        SCOPED_TRACE(fault.name);
        crash_disk files;
        require_success(hard_state_store(files).create(replica_id{9}));
        log_recovery recovery;
        require_success(durable_log::open(files, {}, recovery)
                            ->append(make_entries(1, 1, 1)));
        for (const auto& name : fault.lost)
        {
            require_success(files.remove(name));
        }
        const auto condition = hard_state_store(files).inspect();
        EXPECT_EQ(condition.has_value(), fault.expected.has_value());
        EXPECT_EQ(condition ? std::optional(*condition) : std::nullopt,
                  fault.expected);
    }
}

// Guards against two processes that write to one data directory, and checks
// the storage on the real file system.
TEST(durable_storage, works_on_files_and_locks_its_directory)
{
    const std::string path =
        ::testing::TempDir() + "durable_storage_" + std::to_string(::getpid());
    {
        auto files = file_disk::open(path).value();
        EXPECT_EQ(file_disk::open(path).error().kind,
                  error_kind::storage_failure);
        require_success(hard_state_store(*files).create(replica_id{3}));
        log_recovery recovery;
        auto log =
            durable_log::open(*files, {}, recovery, segment_size).value();
        require_success(log.append(make_entries(1, 20, 1)));
        require_success(log.append(make_entries(21, 2, 1)));
        require_success(snapshot_store(*files).save({{20, 1}, {}, "s"}));
        require_success(log.compact(20));
    }
    auto files = file_disk::open(path).value();
    EXPECT_EQ(hard_state_store(*files).inspect().value(),
              disk_condition::initialized);
    const auto snapshot = snapshot_store(*files).load().value();
    EXPECT_EQ(snapshot->data, "s");
    log_recovery recovery;
    auto log = durable_log::open(*files, snapshot->last, recovery).value();
    EXPECT_EQ(recovery.entries, make_entries(21, 2, 1));
    const auto names = files->list().value();
    for (const auto& name : names)
    {
        require_success(files->remove(name));
    }
    ::rmdir(path.c_str());
}

} // namespace boragestand::state
