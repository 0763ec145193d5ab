#include "state/state.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace boragestand::state
{

namespace
{

const std::string valid_note = R"(number: 7
added:
  services:
    - {name: new-desk, address: 10.0.0.3:443, protocol: tcp, work: short}
  rules:
    - {name: slow, service: desk, source: 10.9.0.0/16, work: any,
       action: share, share_percent: 50}
changed:
  services:
    - {name: desk, hold_limit_ms: 3000}
  rules:
    - {name: far, source: 10.8.0.0/16}
  upstreams:
    - {service: desk, name: d-03, weight: 50}
withdrawn:
  rules: [near]
  services: [old-desk]
  upstreams:
    - {service: desk, name: d-04}
)";

/// The configuration that the notes are checked against.
configuration current_configuration()
{
    const auto checked = check_release_note(R"(number: 6
added:
  services:
    - {name: desk, address: 10.0.0.1:443, protocol: tcp}
    - {name: old-desk, address: 10.0.0.2:443, protocol: tcp}
  rules:
    - {name: far, service: desk, action: accept}
    - {name: near, service: desk, action: refuse}
    - {name: old, service: old-desk, action: accept}
)",
                                            {});
    EXPECT_TRUE(checked.has_value());
    return checked ? checked->next : configuration{};
}

/// One replacement in a valid note and the fault that it must cause.
struct broken_note
{
    std::string from;
    std::string to;
    std::uint32_t line;
    std::string cause; ///< part of the message
};

const std::vector<broken_note> broken_notes{
    {"number: 7\n", "", 1, "number: required key is missing"},
    {"number: 7", "number: 0", 1, "from 1 to 9007199254740991, found \"0\""},
    {"number: 7", "number: -7", 1, "expected a whole number"},
    {"number: 7", "number: 7.0", 1, "expected a whole number"},
    {"number: 7", "number: 99999999999999999999", 1, "expected a whole"},
    {"added:", "aded:", 2, "aded: unknown key; expected one of number, added"},
    {"added:\n", "added: &a\n  <<: *a\n", 3, "added.<<: unknown key"},
    {"name: new-desk", "name: desk", 4, "service desk exists already"},
    {"name: new-desk", "name: [x]", 4, "found a list"},
    {"10.0.0.3:443", "10.0.0.1:443", 4,
     "address 10.0.0.1:443 with protocol tcp belongs to service desk"},
    {"10.0.0.3:443", "10.0.0.3", 4, "expected an IPv4 address and port"},
    {"protocol: tcp", "protocol: sctp", 4, "expected one of tcp, udp"},
    {", protocol: tcp", "", 4, "protocol: required key is missing"},
    {"work: short", "work: quick", 4, "expected one of any, short, long"},
    {"work: short", "idempotent: yes", 4, "expected true or false"},
    {"work: short", "short_limit_ms: 0", 4, "from 1 to 3600000"},
    {"work: short", "hold_capacity: 1000001", 4, "from 0 to 1000000"},
    {"work: short", "idle_limit_ms: 1", 4, "from 1000 to 86400000"},
    {"service: desk, source", "service: dusk, source", 6,
     "service dusk does not exist"},
    {"service: desk, source", "service: old-desk, source", 6,
     "service old-desk does not exist"},
    {"name: slow", "name: far", 6, "rule far exists already"},
    {"10.9.0.0/16", "10.9.0.0/33", 6, "expected an IPv4 prefix"},
    {"10.9.0.0/16", "10.9.0.1/16", 6, "without host bits"},
    {"10.9.0.0/16", "10.9/16", 6, "expected an IPv4 prefix"},
    {"action: share, ", "", 6, "action: required key is missing"},
    {", share_percent: 50", "", 6, "share_percent: required key is missing"},
    {"share_percent: 50", "share_percent: 101", 7, "from 1 to 100"},
    {"action: share", "action: accept", 7, "only allowed with action share"},
    {"hold_limit_ms: 3000", "hold_limit_ms: 600001", 10, "from 0 to 600000"},
    {"hold_limit_ms: 3000", "address: 10.0.0.9:443", 10,
     "address: unknown key; expected one of name, idempotent"},
    {"{name: desk, hold", "{name: disk, hold", 10,
     "service disk does not exist"},
    {"{name: desk, hold_limit_ms: 3000}",
     "{name: desk, work: any}\n    - {name: desk, work: long}", 11,
     "service desk is changed twice"},
    {"name: far, source", "name: fur, source", 12, "rule fur does not exist"},
    {"source: 10.8.0.0/16", "action: share", 12, "share_percent is required"},
    {"source: 10.8.0.0/16", "share_percent: 5", 12, "only allowed with action"},
    {", weight: 50", "", 14, "expected weight or drain with it"},
    {"weight: 50", "weight: 0", 14, "from 1 to 10000"},
    {"name: d-03", "name: d/03", 14, "expected a name of 1 to 63"},
    {"rules: [near]", "rules: [nearer]", 16, "rule nearer does not exist"},
    {"rules: [near]", "rules: near", 16, "expected a list, found \"near\""},
    {"rules: [near]", "rules: [far]", 12, "rule far does not exist"},
    {"services: [old-desk]", "services: [old-desk, old-desk]", 17,
     "service old-desk does not exist"},
    {"services: [old-desk]", "services: [{name: old-desk}]", 17,
     "found a mapping"},
    {"name: d-04", "name: d-03", 19, "upstream desk d-03 is changed twice"},
    {"withdrawn:", "\twithdrawn:", 15, "not valid YAML"},
    {valid_note, "number: 7", 1, "expected at least one item"},
    {valid_note, "", 1, "expected one YAML document"},
    {valid_note, std::string(max_note_size + 1, '#'), 1, "at most 262144"},
    {valid_note, std::string(100000, '{'), 1, "not valid YAML"},
    {valid_note, std::string("number: \0\x01", 10), 1, "not valid YAML"},
};

} // namespace

// Guards against an invalid note that takes effect, crashes the control
// instance, or is reported without the line and cause of the fault.
TEST(broken_notes, name_line_and_cause)
{
    const configuration current = current_configuration();
    ASSERT_TRUE(check_release_note(valid_note, current).has_value());
    for (const broken_note& broken : broken_notes)
    {
        SCOPED_TRACE(broken.from + " -> " + broken.to.substr(0, 80));
        std::string text = valid_note;
        const std::size_t at = text.find(broken.from);
        ASSERT_NE(at, text.npos);
        text.replace(at, broken.from.size(), broken.to);
        const auto checked = check_release_note(text, current);
        ASSERT_FALSE(checked.has_value());
        const auto& faults = checked.error();
        std::string all;
        for (const document::fault& fault : faults)
        {
            all += to_string(fault) + "\n";
        }
        const bool named = std::any_of(
            faults.begin(), faults.end(),
            [&](const document::fault& fault)
            {
                return fault.where.line == broken.line &&
                       fault.message.find(broken.cause) != std::string::npos;
            });
        EXPECT_TRUE(named) << "expected line " << broken.line << ": "
                           << broken.cause << "\nfound:\n"
                           << all;
    }
}

// Guards against checks that report only some faults of a note at a time, and
// against responses of unbounded size.
TEST(broken_notes, report_syntax_and_meaning_at_once)
{
    const auto checked = check_release_note(
        "number: 7\n"
        "added: {services: [{name: a, address: x, protocol: tcp}]}\n"
        "changed: {services: [{name: b, work: long}]}\n"
        "withdrawn: {rules: [c]}\n",
        {});
    ASSERT_FALSE(checked.has_value());
    ASSERT_EQ(checked.error().size(), 3u);
    EXPECT_EQ(checked.error()[0].where, (document::position{2, 39}));
    EXPECT_EQ(checked.error()[1].where.line, 3u);
    EXPECT_EQ(checked.error()[2].where.line, 4u);

    std::string many = "number: 7\nwithdrawn:\n  rules:\n";
    for (int i = 0; i < 1000; ++i)
    {
        many += "    - r" + std::to_string(i) + "\n";
    }
    const auto bounded = check_release_note(many, {});
    ASSERT_FALSE(bounded.has_value());
    EXPECT_EQ(bounded.error().size(), document::max_faults + 1);
    EXPECT_EQ(bounded.error().back().message, "900 further faults");
}

// Guards against equivalent notes with different digests, which would conflict,
// and different notes with the same digest.
TEST(release_note, digest_follows_the_meaning)
{
    const auto digest = [](const std::string& text)
    {
        document::fault_list faults;
        const release_note note = parse_release_note(text, faults);
        EXPECT_TRUE(faults.empty()) << text;
        return compute_digest(note);
    };
    const std::string written = "number: 1\nadded: {services: [{name: a, "
                                "address: 10.0.0.1:1, protocol: udp}]}\n";
    const std::string same =
        "# with defaults spelled out, in another order\n"
        "added:\n  services:\n  - protocol: 'udp'\n    name: \"a\"\n"
        "    address: 10.0.0.1:1\n    work: any\n    hold_limit_ms: 5000\n"
        "number: 1\n";
    EXPECT_EQ(digest(written), digest(same));
    EXPECT_EQ(digest(written).size(), 32u);
    EXPECT_NE(digest(written),
              digest("number: 1\nadded: {services: [{name: a, address: "
                     "10.0.0.1:1, protocol: udp, work: long}]}\n"));

    document::fault_list faults;
    const release_note note = parse_release_note(valid_note, faults);
    EXPECT_EQ(parse_release_note(to_canonical_text(note), faults), note);
    EXPECT_TRUE(faults.empty());
}

// Guards against rules, overrides and agreements that outlive their service,
// and a replaced rule that keeps its old place.
TEST(release_note, withdrawing_and_replacing)
{
    const configuration current = current_configuration();
    const auto checked = check_release_note(
        "number: 8\n"
        "withdrawn: {services: [old-desk], rules: [far]}\n"
        "added: {rules: [{name: far, service: desk, action: accept}]}\n",
        current);
    ASSERT_TRUE(checked.has_value());
    const configuration& next = checked->next;
    ASSERT_EQ(next.rules.size(), 2u);
    EXPECT_EQ(next.rules[0].name, "near");
    EXPECT_EQ(next.rules[1].name, "far");
    EXPECT_EQ(next.last_service, 2u);
    std::vector<std::string> lines;
    for (const configuration_change& change : diff(current, next))
    {
        lines.push_back(to_string(change));
    }
    EXPECT_EQ(lines, (std::vector<std::string>{
                         "- service old-desk", "~ rule far: place 1 -> 2",
                         "~ rule near: place 2 -> 1", "- rule old"}));
}

} // namespace boragestand::state
