#include "gateway/TableParts.h"

#include "core/Hash.h"

#include <stdexcept>

namespace lagoontiller::gateway {

std::uint64_t TableParts::count() const
{
    if (!this->number)
        throw std::logic_error("the number of table parts is not known yet");
    return *this->number;
}

std::string TableParts::partOf(std::string_view id) const
{
    return std::to_string(core::hash64(id) % this->count());
}

} // namespace lagoontiller::gateway
