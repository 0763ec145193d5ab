#include "state/hard_state_store.hpp"

#include "state/checksummed_file.hpp"

#include <algorithm>
#include <array>
#include <cstring>

namespace boragestand::state
{

namespace
{

constexpr std::string_view identity_file = "identity";
constexpr std::string_view state_file = "hard-state";

// Encodes the numbers as 8 little-endian bytes each.
template <std::size_t Count>
std::string encode_numbers(const std::array<std::uint64_t, Count>& numbers)
{
    std::string text;
    for (const auto number : numbers)
    {
        for (unsigned shift = 0; shift < 64; shift += 8)
        {
            text.push_back(static_cast<char>((number >> shift) & 0xff));
        }
    }
    return text;
}

template <std::size_t Count>
result<std::array<std::uint64_t, Count>> decode_numbers(std::string_view name,
                                                        const std::string& text)
{
    if (text.size() != Count * 8)
    {
        return failure(error_kind::storage_corrupt,
                       std::string(name) + " at offset 0: wrong length");
    }
    std::array<std::uint64_t, Count> numbers{};
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        const auto part = static_cast<unsigned char>(text[at]);
        numbers[at / 8] |= std::uint64_t{part} << (8 * (at % 8));
    }
    return numbers;
}

} // namespace

hard_state_store::hard_state_store(disk& files) : files_(files) {}

result<replica_id> hard_state_store::read_identity()
{
    return read_checksummed_file(files_, identity_file)
        .and_then([](const std::string& text)
                  { return decode_numbers<1>(identity_file, text); })
        .map([](const auto& numbers) { return replica_id{numbers[0]}; });
}

result<hard_state> hard_state_store::read_state()
{
    return read_checksummed_file(files_, state_file)
        .and_then([](const std::string& text)
                  { return decode_numbers<3>(state_file, text); })
        .map(
            [](const auto& numbers)
            {
                return hard_state{replica_id{numbers[0]}, numbers[1],
                                  replica_id{numbers[2]}};
            });
}

result<disk_condition> hard_state_store::inspect()
{
    const auto names = files_.list();
    if (!names)
    {
        return tl::unexpected(names.error());
    }
    const auto identity = read_identity();
    if (!identity && identity.error().kind != error_kind::not_found)
    {
        return tl::unexpected(identity.error());
    }
    // create() writes the identity last, so only its own first files can be
    // there without one.
    const bool only_first_files = std::all_of(
        names->begin(), names->end(),
        [](const std::string& name)
        { return name == state_file || name.ends_with(temporary_suffix); });
    if (!identity)
    {
        return only_first_files
                   ? result<disk_condition>(disk_condition::empty)
                   : failure(error_kind::storage_corrupt,
                             "the data directory has files but the file "
                             "identity is missing");
    }
    const auto found = read_state();
    if (!found)
    {
        return failure(error_kind::storage_corrupt,
                       "identity exists, but the hard state is unusable: " +
                           found.error().message);
    }
    if (found->self != *identity)
    {
        return failure(error_kind::storage_corrupt,
                       "hard-state at offset 0: belongs to another identity");
    }
    current_ = *found;
    return disk_condition::initialized;
}

result<void> hard_state_store::create(replica_id self)
{
    return save({self, 0, {}})
        .and_then(
            [&]
            {
                return replace_checksummed_file(
                    files_, identity_file, encode_numbers<1>({self.value}));
            });
}

result<void> hard_state_store::save(const hard_state& value)
{
    return replace_checksummed_file(
               files_, state_file,
               encode_numbers<3>(
                   {value.self.value, value.term, value.vote.value}))
        .map([&] { current_ = value; });
}

} // namespace boragestand::state
