#pragma once

#include "state/flow_record.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>

namespace boragestand::state
{

/// Position of a record; constant while the flow is in the table.
using flow_slot = std::uint32_t;

/// No record.
constexpr flow_slot no_flow = 0xffffffff;

/// Hash table of flows by key. Records are stored in one reserved address range
/// whose pages are allocated on first use; an open-addressing index with 8-byte
/// entries refers to them. When the index doubles, each insertion moves a few
/// entries, so no single operation takes long.
class flow_table
{
public:
    /// capacity is the largest number of flows.
    explicit flow_table(std::size_t capacity);

    /// The slot of a flow, or no_flow.
    flow_slot find(const protocol::flow_key& key, std::uint64_t hash) const;

    /// Adds a record for a flow that is not in the table; no_flow if the table
    /// is full.
    flow_slot insert(const protocol::flow_key& key, std::uint64_t hash);

    /// Removes a flow that is in the table.
    void erase(flow_slot slot);

    /// Removes all flows.
    void clear();

    /// The record of a slot.
    flow_record& operator[](flow_slot slot) { return records_[slot]; }
    const flow_record& operator[](flow_slot slot) const
    {
        return records_[slot];
    }

    /// Whether the slot still holds the flow with this hash.
    bool holds(flow_slot slot, std::uint64_t hash) const;

    /// Number of flows.
    std::size_t size() const { return size_; }

    /// Number of slots used so far, including freed ones; all slots below it
    /// can be visited.
    flow_slot slot_count() const { return slot_count_; }

    /// Memory of records and index in bytes.
    std::size_t memory_bytes() const;

    /// Calls visit(slot) for the held flows among the next `count` slots after
    /// the cursor and moves the cursor on; wraps to 0 at the end. The visitor
    /// may erase the flow that it is given.
    template <typename Visitor>
    void visit_next(flow_slot& cursor, std::size_t count, Visitor visit)
    {
        for (std::size_t done = 0; done < count; ++done)
        {
            if (cursor >= slot_count_)
            {
                cursor = 0;
                return;
            }
            const flow_slot slot = cursor++;
            if ((*this)[slot].state != flow_state::free)
            {
                visit(slot);
            }
        }
    }

private:
    /// Tombstone: reference of an index entry whose flow was moved or removed
    /// while the index grows; a search continues past it.
    static constexpr std::uint32_t tombstone = 0xffffffff;

    struct index_entry
    {
        std::uint32_t tag;       ///< low half of the hash
        std::uint32_t reference; ///< slot plus one, or 0 if empty
    };

    struct release_memory
    {
        void operator()(index_entry* entries) const { std::free(entries); }
    };

    struct unmap_memory
    {
        void* range{nullptr};
        std::size_t size{0};
        void operator()(flow_record* records) const;
    };
    using record_range = std::unique_ptr<flow_record[], unmap_memory>;

    struct flow_index
    {
        std::unique_ptr<index_entry[], release_memory> entries;
        std::size_t size{0};

        std::size_t mask() const { return size - 1; }
    };

    static record_range reserve_records(std::size_t count);
    static flow_index make_index(std::size_t size);
    flow_slot find_in_index(const flow_index& index,
                            const protocol::flow_key& key,
                            std::uint64_t hash) const;
    std::size_t position_of(const flow_index& index, flow_slot slot,
                            std::uint32_t tag) const;
    static void insert_entry(flow_index& index, index_entry entry);
    void remove_at(std::size_t position);
    void grow_if_needed();
    void move_entries(std::size_t count);
    flow_slot allocate_slot();

    std::size_t capacity_;
    std::size_t size_{0};
    flow_slot slot_count_{0};
    flow_slot first_free_{no_flow};
    record_range records_;
    flow_index index_;
    flow_index old_index_; ///< its entries are being moved to index_
    std::size_t moved_{0}; ///< entries of old_index_ already moved
};

} // namespace boragestand::state
