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

/// \brief A document text that its author submits as the version after `base`.
struct AcceptanceRequest {
    std::string text;
    std::string author;
    /// \brief Version on which the text is based; 0 for the first document.
    DocumentVersion base = 0;
    /// \brief Submission time in milliseconds since the Unix epoch.
    std::int64_t unixMs = 0;
    /// \brief Random id that distinguishes this request from others with the same text.
    std::string acceptanceId;
};

/// \brief Step: the driver reads this row and calls `onRow` or `onReadFailed`.
struct ReadRow {
    std::string key;
};

/// \brief Step: the driver sends this transaction and calls `onReply` or `onReplyLost`.
struct WriteRows {
    tables::Transaction transaction;
};

/// \brief Result: the version is committed as the current one. A committed version is never rolled back.
struct Accepted {
    DocumentVersion version = 0;
    std::shared_ptr<const Document> document;
    Changes changes;
};

/// \brief Result: the base is no longer the current version. The request had no effect.
struct VersionConflict {
    DocumentVersion currentVersion = 0;
    std::string currentText;
    std::string currentAuthor;
    /// \brief Difference from the base to the current version.
    Changes changesSinceBase;
    /// \brief Three-way merge of the request into the current version.
    Merge merge;
};

/// \brief Result: the request failed, or its outcome is unknown. `error.ran` is `MayHaveRun` if the version may have
/// been committed, as with `DocumentOutcomeUnknown`.
struct Refused {
    core::Error error;
    /// \brief Faults of the text; empty unless the code is `DocumentFault`.
    Faults faults;
};

/// \brief State machine that commits one document version. It performs no I/O: the driver executes each step and
/// reports the outcome.
///
/// The transaction requires that `document/current` still has the row version that was read and that the row of the new
/// version does not exist. If the reply is lost, the row of the new version is read back. If that row is absent, the
/// same transaction is sent again: its conditions let at most one attempt commit, and a delayed first attempt fails
/// after the second has committed. The driver backs off between retries according to `failures`.
class Acceptance {
public:
    using Step = std::variant<ReadRow, WriteRows, Accepted, VersionConflict, Refused>;

    /// \brief Number of store failures at which the request is given up.
    static constexpr int maxStoreFailures = 8;

    explicit Acceptance(AcceptanceRequest request);

    /// \brief The step to execute next, or the result once `isFinished`.
    [[nodiscard]] const Step& step() const noexcept { return this->nextStep; }
    [[nodiscard]] bool isFinished() const noexcept;
    /// \brief Number of store failures so far; determines the driver's back-off.
    [[nodiscard]] int failures() const noexcept { return this->failureCount; }

    /// \brief Reports the row that was read; empty if it does not exist.
    void onRow(const std::optional<tables::Row>& row);
    /// \brief Reports that the read failed or timed out.
    void onReadFailed();
    void onReply(const tables::TransactionReply& reply);
    /// \brief Reports that no reply arrived: the transaction may have committed, or may still commit.
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
    /// \brief Counts a store failure. Returns false if `maxStoreFailures` is reached; the result is then `Refused`.
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
