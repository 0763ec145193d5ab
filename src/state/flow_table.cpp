#include "state/flow_table.hpp"

#include <sys/mman.h>

#include <algorithm>
#include <new>

namespace boragestand::state
{

namespace
{

constexpr std::size_t first_index_size = 4096;
/// Entries moved with each insertion while the index grows. The new index has
/// room for as many insertions as the old one held, so 4 would be enough; 32
/// bounds the time during which both exist.
constexpr std::size_t entries_per_move = 32;

constexpr std::size_t page_size = 4096;
constexpr std::size_t large_page_size = std::size_t{2} << 20;
constexpr std::size_t large_page_records =
    large_page_size / sizeof(flow_record);

/// Lets the kernel back a part of a range with large pages. A random access to
/// many small ones costs a page walk each; small tables keep small pages.
void advise_large_pages(void* range, std::size_t offset, std::size_t size)
{
    if (size < large_page_size)
    {
        return;
    }
    const auto start = reinterpret_cast<std::uintptr_t>(range) + offset;
    const auto aligned = (start + page_size - 1) / page_size * page_size;
    // The result is ignored: without large pages the table is slower, not
    // wrong.
    madvise(reinterpret_cast<void*>(aligned), size - (aligned - start),
            MADV_HUGEPAGE);
}

bool exceeds_max_load(std::size_t used, std::size_t size)
{
    return used * 8 > size * 7;
}

std::uint32_t tag_of(std::uint64_t hash)
{
    return static_cast<std::uint32_t>(hash);
}

} // namespace

flow_table::flow_table(std::size_t capacity)
    : capacity_(std::max<std::size_t>(capacity, 1))
    , records_(reserve_records(capacity_))
    , index_(make_index(first_index_size))
{
}

flow_table::record_range flow_table::reserve_records(std::size_t count)
{
    const std::size_t size = count * sizeof(flow_record) + large_page_size;
    void* range = mmap(nullptr, size, PROT_READ | PROT_WRITE,
                       MAP_PRIVATE | MAP_ANONYMOUS | MAP_NORESERVE, -1, 0);
    if (range == MAP_FAILED)
    {
        throw std::bad_alloc();
    }
    const auto start = reinterpret_cast<std::uintptr_t>(range);
    const auto aligned =
        (start + large_page_size - 1) / large_page_size * large_page_size;
    return {reinterpret_cast<flow_record*>(aligned), unmap_memory{range, size}};
}

void flow_table::unmap_memory::operator()(flow_record* /*records*/) const
{
    munmap(range, size);
}

flow_table::flow_index flow_table::make_index(std::size_t size)
{
    // Zeroed pages come from the kernel on first use, so a large index costs
    // no pause here.
    auto* entries =
        static_cast<index_entry*>(std::calloc(size, sizeof(index_entry)));
    if (entries == nullptr)
    {
        throw std::bad_alloc();
    }
    advise_large_pages(entries, 0, size * sizeof(index_entry));
    return {std::unique_ptr<index_entry[], free_memory>(entries), size};
}

flow_slot flow_table::find(const protocol::flow_key& key,
                           std::uint64_t hash) const
{
    const flow_slot found = find_in(index_, key, hash);
    if (found != no_flow || old_index_.size == 0)
    {
        return found;
    }
    return find_in(old_index_, key, hash);
}

flow_slot flow_table::find_in(const flow_index& index,
                              const protocol::flow_key& key,
                              std::uint64_t hash) const
{
    const std::uint32_t tag = tag_of(hash);
    std::size_t position = tag & index.mask();
    while (index.entries[position].reference != 0)
    {
        const index_entry entry = index.entries[position];
        if (entry.tag == tag && entry.reference != tombstone)
        {
            const flow_record& record = (*this)[entry.reference - 1];
            if (record.hash == hash && record.is(key))
            {
                return entry.reference - 1;
            }
        }
        position = (position + 1) & index.mask();
    }
    return no_flow;
}

flow_slot flow_table::insert(const protocol::flow_key& key, std::uint64_t hash)
{
    if (size_ >= capacity_)
    {
        return no_flow;
    }
    grow_if_needed();
    move_entries(entries_per_move);
    const flow_slot slot = allocate_slot();
    flow_record& record = (*this)[slot];
    record = flow_record{};
    record.hash = hash;
    record.caller_address = key.caller.address;
    record.caller_port = key.caller.port;
    record.destination_address = key.destination.address;
    record.destination_port = key.destination.port;
    record.service = key.service;
    record.protocol = key.protocol;
    record.state = flow_state::opening;
    place(index_, {tag_of(hash), slot + 1});
    ++size_;
    return slot;
}

void flow_table::place(flow_index& index, index_entry entry)
{
    std::size_t position = entry.tag & index.mask();
    while (index.entries[position].reference != 0)
    {
        position = (position + 1) & index.mask();
    }
    index.entries[position] = entry;
}

std::size_t flow_table::position_of(const flow_index& index, flow_slot slot,
                                    std::uint32_t tag) const
{
    if (index.size == 0)
    {
        return 0;
    }
    std::size_t position = tag & index.mask();
    while (index.entries[position].reference != 0)
    {
        if (index.entries[position].reference == slot + 1)
        {
            return position;
        }
        position = (position + 1) & index.mask();
    }
    return index.size;
}

void flow_table::erase(flow_slot slot)
{
    flow_record& record = (*this)[slot];
    const std::uint32_t tag = tag_of(record.hash);
    const std::size_t position = position_of(index_, slot, tag);
    if (position != index_.size)
    {
        remove_at(position);
    }
    else
    {
        const std::size_t old = position_of(old_index_, slot, tag);
        old_index_.entries[old].reference = tombstone;
    }
    record.state = flow_state::free;
    record.hash = first_free_;
    first_free_ = slot;
    --size_;
}

void flow_table::remove_at(std::size_t position)
{
    // Moves later entries of the same run back, so no tombstone is needed
    // for the removed one.
    std::size_t hole = position;
    std::size_t next = (hole + 1) & index_.mask();
    while (index_.entries[next].reference != 0)
    {
        const std::size_t home = index_.entries[next].tag & index_.mask();
        const std::size_t from_home = (next - home) & index_.mask();
        const std::size_t from_hole = (next - hole) & index_.mask();
        if (from_home >= from_hole)
        {
            index_.entries[hole] = index_.entries[next];
            hole = next;
        }
        next = (next + 1) & index_.mask();
    }
    index_.entries[hole] = index_entry{0, 0};
}

void flow_table::clear()
{
    index_ = make_index(first_index_size);
    old_index_ = flow_index{};
    records_ = reserve_records(capacity_);
    moved_ = 0;
    size_ = 0;
    slot_count_ = 0;
    first_free_ = no_flow;
}

bool flow_table::holds(flow_slot slot, std::uint64_t hash) const
{
    return slot < slot_count_ && (*this)[slot].state != flow_state::free &&
           (*this)[slot].hash == hash;
}

std::size_t flow_table::memory_bytes() const
{
    const std::size_t used = slot_count_ * sizeof(flow_record);
    const std::size_t pages = (used + page_size - 1) / page_size * page_size;
    return pages + (index_.size + old_index_.size) * sizeof(index_entry);
}

void flow_table::grow_if_needed()
{
    if (!exceeds_max_load(size_ + 1, index_.size))
    {
        return;
    }
    move_entries(old_index_.size);
    old_index_ = std::move(index_);
    index_ = make_index(old_index_.size * 2);
    moved_ = 0;
}

void flow_table::move_entries(std::size_t count)
{
    for (; count > 0 && moved_ < old_index_.size; --count, ++moved_)
    {
        index_entry& entry = old_index_.entries[moved_];
        if (entry.reference == 0 || entry.reference == tombstone)
        {
            continue;
        }
        place(index_, entry);
        entry.reference = tombstone;
    }
    if (moved_ >= old_index_.size && old_index_.size != 0)
    {
        old_index_ = flow_index{};
        moved_ = 0;
    }
}

flow_slot flow_table::allocate_slot()
{
    if (first_free_ != no_flow)
    {
        const flow_slot slot = first_free_;
        first_free_ = static_cast<flow_slot>((*this)[slot].hash);
        return slot;
    }
    const flow_slot slot = slot_count_++;
    if (slot % large_page_records == 0 && slot != 0)
    {
        advise_large_pages(records_.get(), slot * sizeof(flow_record),
                           large_page_size);
    }
    return slot;
}

} // namespace boragestand::state
