#pragma once

#include "base/base.hpp"

/// Times of the exchange between the instances of a fleet.
namespace boragestand::fleet
{

/// Longest wait of a directory request without changes. It bounds the age of
/// the data that an instance holds: a longer wait for a reply means lost
/// contact.
constexpr duration directory_wait = std::chrono::milliseconds(500);

/// Time for a reply besides directory_wait: some round trips and one scheduling
/// delay of a machine with 0.05 of a core.
constexpr duration directory_timeout =
    directory_wait + std::chrono::milliseconds(500);

/// Longest pause between two bytes of a page of the plan: some round trips, one
/// scheduling delay of a machine with 0.05 of a core, and other packets on the
/// link.
constexpr duration plan_page_timeout = std::chrono::seconds(1);

/// Pause after a request for a page of the plan that failed.
constexpr duration plan_retry = std::chrono::milliseconds(150);

/// Pause after a directory request that failed.
constexpr duration directory_retry = std::chrono::milliseconds(150);

/// An entry instance without contact queries a further control instance in
/// parallel after this time: some round trips and one scheduling delay of a
/// small machine.
constexpr duration candidate_delay = std::chrono::milliseconds(50);

/// A control instance that does not accept a connection within this time is
/// skipped in the first round; it may be powered off, and others are near.
constexpr duration first_connect_timeout = std::chrono::milliseconds(100);

/// Contact with a control instance counts as lost after this time without a
/// reply.
constexpr duration contact_limit = 2 * directory_timeout;

/// An entry instance that has not asked for this long no longer counts.
constexpr duration entry_lifetime = std::chrono::seconds(3);

/// Changes of upstreams are sent together after this time, so that many
/// heartbeats in a row do not cost one reply each.
constexpr duration publish_delay = std::chrono::milliseconds(20);

/// Most records of one reply: about 20 KB, less than 0.1 s on a link of
/// 2 Mbit/s.
constexpr std::size_t directory_page_size = 200;

/// Shortest time between two lists of heartbeats for one control instance. With
/// the time between heartbeats it stays below the lease of an upstream.
constexpr duration refresh_interval = std::chrono::seconds(1);

/// Longest wait for a majority before the leave of an upstream is answered.
/// Upstreams accept an answer only within a second.
constexpr duration leave_confirmation = std::chrono::milliseconds(700);

/// A member without an answer for this long counts as lost. It is longer than
/// the process freezes and network partitions that an instance recovers from.
constexpr duration lost_member_silence = std::chrono::seconds(10);

/// Shorter limit for a silent member that another one has replaced, and for a
/// learner, which delays all other changes of the group.
constexpr duration replaced_member_silence = std::chrono::seconds(3);

/// A planned successor joins up to this long before its predecessor stops.
constexpr duration successor_delay = std::chrono::seconds(4);

/// An entry instance that no control instance in contact with its group has
/// answered serves with an unconfirmed plan after this time.
constexpr duration ready_without_contact = std::chrono::seconds(3);

/// Shortest time between two saves of the directory for changes of upstreams;
/// each waits for the disk.
constexpr duration registry_save_interval = std::chrono::seconds(4);

/// Shortest time between two saves for upstreams that leave.
constexpr duration leave_save_interval = std::chrono::milliseconds(200);

/// Shortest time between two saves for a new plan, which, unlike upstreams, no
/// heartbeat restores.
constexpr duration plan_save_interval = std::chrono::seconds(1);

} // namespace boragestand::fleet
