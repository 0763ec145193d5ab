#pragma once

#include "simulated_group.hpp"

#include <functional>
#include <string>
#include <vector>

namespace boragestand::testing
{

/// One line of a scenario file, split into words.
struct scenario_step
{
    int line{0};
    std::vector<std::string> words;
};

/// A scenario file. Lines are steps and expectations; '#' starts a comment. The
/// step "needs GUARD" states that the scenario fails without that guard.
///
///   start 1 2 3              founding members
///   spawn 4                  an instance with an empty disk, no member
///   set batch|snapshots|chunk N, set loss|duplication P, set delay MS MS
///   elect 1                  until it leads; "try-elect 1" may fail
///   run 200ms, run 3s
///   propose 1 x              also "leader" for an instance
///   propose-many 1 500 name
///   read 1 name
///   cut 1 2 | 3, heal, drop-in-flight
///   kill 1, restart 1, kill-at 1 3 (at its third write or sync from here)
///   freeze 1, thaw 1, hand-over 1
///   lose-disk 2              goes on under a new identity
///   admit 2, add 4, remove 3 proposed at the leader
///   until committed x on 1 2
///   mark-term, expect same-term
///   expect committed|missing x on 1 2
///   expect leader|no-leader 1, expect voter|learner|no-member 4
///   expect answered|open|unknown x, expect refused x KIND
///   expect same-state on 1 2, expect snapshot on 4
class scenario
{
public:
    /// Reads a file.
    static scenario load(const std::string& path);

    /// Runs all steps with a seed. Empty on success, else the line and what was
    /// wrong.
    std::string run(std::uint64_t seed,
                    const agreement::agreement_faults& faults) const;

    /// Guards without which the scenario fails.
    const std::vector<std::string>& needed_guards() const { return guards_; }

private:
    std::vector<scenario_step> steps_;
    std::vector<std::string> guards_;
};

/// The faults that switch one guard off: pre-vote, check-quorum,
/// sync-before-answer, learner-rule, one-change, own-term-commit.
agreement::agreement_faults without_guard(const std::string& name);

} // namespace boragestand::testing
