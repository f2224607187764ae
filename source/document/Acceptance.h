#pragma once

#include "core/Error.h"
#include "document/Document.h"
#include "document/Merge.h"
#include "document/VersionRow.h"
#include "tables/Transaction.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace lagoontiller::document {

struct AcceptanceRequest {
    std::string text;
    std::string author;
    /// \brief Version that the author edited; 0 for the first document.
    DocumentVersion base = 0;
    std::int64_t unixMs = 0;
    /// \brief Random; tells this acceptance from another one with the same text.
    std::string acceptanceId;
};

/// \brief The driver reads this row next.
struct ReadRow {
    std::string key;
};

/// \brief The driver sends this transaction next.
struct WriteRows {
    tables::Transaction transaction;
};

/// \brief The version is in force from now on and is never reverted.
struct Accepted {
    DocumentVersion version = 0;
    std::shared_ptr<const Document> document;
    Changes changes;
};

/// \brief Another version was accepted first. Nothing of the request took effect.
struct VersionConflict {
    DocumentVersion currentVersion = 0;
    std::string currentText;
    std::string currentAuthor;
    /// \brief Changes from the base to the current version.
    Changes changesSinceBase;
    Merge merge;
};

/// \brief The request ended without an accepted version. `error.ran` is `MayHaveRun` with `DocumentOutcomeUnknown`.
struct Refused {
    core::Error error;
    Faults faults;
};

/// \brief Makes one accepted version. Pure: the driver performs each step and reports its outcome.
///
/// The transaction is conditional on the row version of `document/current` that was read and on the absence of the new
/// version's row. After a lost reply the version's row is read back. If it is absent, the same transaction is sent
/// again: its conditions let at most one of the two take effect, and a late first one fails once the second is
/// committed. The driver waits between repeated steps (`failures` counts them).
class Acceptance {
public:
    using Step = std::variant<ReadRow, WriteRows, Accepted, VersionConflict, Refused>;

    /// \brief Store failures after which the acceptance ends.
    static constexpr int maxStoreFailures = 8;

    explicit Acceptance(AcceptanceRequest request);

    /// \brief What to do next, or the final result.
    [[nodiscard]] const Step& step() const noexcept { return this->nextStep; }
    [[nodiscard]] bool isFinished() const noexcept;
    /// \brief Store failures so far, for the back-off of the driver.
    [[nodiscard]] int failures() const noexcept { return this->failureCount; }

    /// \brief The row that was read, or nothing when it does not exist.
    void onRow(const std::optional<tables::Row>& row);
    /// \brief The read failed or timed out.
    void onReadFailed();
    void onReply(const tables::TransactionReply& reply);
    /// \brief No reply arrived: the transaction may or may not have taken effect, now or later.
    void onReplyLost();

private:
    enum class State : int {
        ReadingCurrentRow,
        ReadingBaseVersion,
        ReadingCurrentVersion,
        Writing,
        ReadingBack,
        Finished,
    };

    void readRow(State newState, std::string key);
    void finish(Step result);
    void refuse(core::ResultCode code, std::string message, core::RunState ran = core::RunState::NotRun);
    void onCurrentRow(const std::optional<tables::Row>& row);
    void onBaseVersion(const std::optional<tables::Row>& row);
    void onCurrentVersion(const std::optional<tables::Row>& row);
    void onReadBack(const std::optional<tables::Row>& row);
    void write();
    void accept();
    /// \brief Counts a store failure. Returns false when it was the last one allowed; the acceptance has then ended.
    [[nodiscard]] bool recordFailure();
    [[nodiscard]] DocumentVersion newVersion() const noexcept { return this->request.base + 1; }

    AcceptanceRequest request;
    std::shared_ptr<const Document> document;
    State state = State::ReadingCurrentRow;
    Step nextStep;
    int failureCount = 0;
    bool mayHaveWritten = false;
    bool replyWasLost = false;
    tables::RowVersion currentRowVersion = 0;
    DocumentVersion currentVersion = 0;
    std::vector<DocumentValue> baseValues;
    Changes changes;
};

} // namespace lagoontiller::document
