#include "document/Merge.h"

#include <algorithm>
#include <map>
#include <utility>

namespace lagoontiller::document {

namespace {

// Index of the changes of one side, to find the one that conflicts with a change of the other side.
class ConflictIndex {
public:
    explicit ConflictIndex(const Changes& changes)
    {
        for (const auto& change : changes) {
            this->bySectionAndKey.emplace(std::pair(change.section(), change.key()), &change);
            if (change.kind() != ChangeKind::Removed)
                this->firstEditOfSection.emplace(change.section(), &change);
        }
        // Removing a key also edits the section, unless the section itself is added or removed.
        for (const auto& change : changes) {
            if (change.kind() == ChangeKind::Removed && this->find(change.section(), "") == nullptr)
                this->firstEditOfSection.emplace(change.section(), &change);
        }
    }

    // Returns the change of this side that conflicts with `change`, or null. `own` indexes the side of `change`;
    // `identical` is set if this side made the same change.
    [[nodiscard]] const Change* conflictOf(const Change& change, const ConflictIndex& own, bool& identical) const
    {
        const auto* const same = this->find(change.section(), change.key());
        identical = same != nullptr && *same == change;
        if (identical)
            return nullptr;
        if (this->removesSection(change.section()) && !own.removesSection(change.section()))
            return this->find(change.section(), "");
        if (own.removesSection(change.section()) && !this->removesSection(change.section()))
            return this->editOf(change.section());
        return same;
    }

private:
    [[nodiscard]] const Change* find(const std::string& section, const std::string& key) const
    {
        const auto found = this->bySectionAndKey.find(std::pair(section, key));
        return found == this->bySectionAndKey.end() ? nullptr : found->second;
    }

    [[nodiscard]] bool removesSection(const std::string& section) const
    {
        const auto* const change = this->find(section, "");
        return change != nullptr && change->kind() == ChangeKind::Removed;
    }

    [[nodiscard]] const Change* editOf(const std::string& section) const
    {
        const auto found = this->firstEditOfSection.find(section);
        return found == this->firstEditOfSection.end() ? nullptr : found->second;
    }

    std::map<std::pair<std::string, std::string>, const Change*> bySectionAndKey;
    std::map<std::string, const Change*> firstEditOfSection;
};

} // namespace

Merge merge(const std::vector<DocumentValue>& base, const std::vector<DocumentValue>& mine,
    const std::vector<DocumentValue>& theirs)
{
    const auto myChanges = difference(base, mine);
    const auto theirChanges = difference(base, theirs);
    const ConflictIndex myIndex(myChanges);
    const ConflictIndex theirIndex(theirChanges);
    Merge result;
    for (const auto& change : myChanges) {
        bool identical = false;
        const auto* const other = theirIndex.conflictOf(change, myIndex, identical);
        if (other != nullptr)
            result.conflicts.push_back({ change, *other });
        else if (!identical)
            result.kept.push_back(change);
    }
    result.values = applyChanges(theirs, result.kept);
    return result;
}

} // namespace lagoontiller::document
