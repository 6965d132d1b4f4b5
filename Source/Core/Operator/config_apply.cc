#include "Core/Operator/config_apply.h"

#include <utility>

#include "Core/Config/diff.h"
#include "Core/Config/parser.h"

namespace primrosecove {
namespace {

// A commit with a lost response is retried, because the service may be slow for
// some time.
constexpr int kMaxCommitAttempts = 10;
constexpr size_t kOperationIdBytes = 16;
constexpr size_t kMaxSummaryChanges = 3;

std::string Summarize(const std::vector<std::string>& changes) {
  if (changes.empty()) return "texts changed without effect";
  std::string out;
  for (size_t i = 0; i < changes.size() && i < kMaxSummaryChanges; ++i) {
    out += (i > 0 ? "; " : "") + changes[i];
  }
  if (changes.size() > kMaxSummaryChanges) {
    out += "; and " + std::to_string(changes.size() - kMaxSummaryChanges) +
           " more";
  }
  return out;
}

std::string IndentedLines(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& it : lines) out += "\n  " + it;
  return out;
}

Result<std::vector<std::string>> ChangesBetween(const Bundle& before,
                                                const Bundle& after) {
  Configuration before_config;
  if (!before.base.empty()) {
    BOOST_OUTCOME_TRY(parsed, ParseBundle(before, ""));
    before_config = parsed;
  }
  BOOST_OUTCOME_TRY(parsed, ParseBundle(after, ""));
  std::vector<std::string> out = DescribeChanges(before_config, parsed);
  for (const auto& [site, text] : after.overlays) {
    auto it = before.overlays.find(site);
    if (it == before.overlays.end()) {
      out.push_back("overlay " + site + ": added");
    } else if (it->second != text) {
      out.push_back("overlay " + site + ": changed");
    }
  }
  for (const auto& [site, text] : before.overlays) {
    if (!after.overlays.contains(site))
      out.push_back("overlay " + site + ": removed");
  }
  return out;
}

}  // namespace

template <typename T, typename Start>
Result<T> ConfigStore::RunUntilDone(Start start) {
  std::optional<Result<T>> result;
  start([&result](Result<T> it) { result = std::move(it); });
  constexpr Milliseconds kPollInterval{100};
  while (!result) loop_->RunOnce(kPollInterval);
  return std::move(*result);
}

Result<Bundle> ConfigStore::ReadBundle(const Digest& digest) {
  using Entry = std::optional<KvEntry>;
  BOOST_OUTCOME_TRY(entry, RunUntilDone<Entry>([&](auto done) {
                      store_->Get(keys_.BundleKey(digest), done);
                    }));
  if (!entry)
    return Fail(ErrorCode::kNotFound,
                "bundle " + digest.ShortHex() + " is not stored");
  return Bundle::Decode(entry->value);
}

Result<StoredRevision> ConfigStore::Read() {
  using Entry = std::optional<KvEntry>;
  BOOST_OUTCOME_TRY(entry, RunUntilDone<Entry>([&](auto done) {
                      store_->Get(keys_.HeadKey(), done);
                    }));
  StoredRevision out;
  if (!entry) return out;
  BOOST_OUTCOME_TRY(head, Head::Decode(entry->value));
  BOOST_OUTCOME_TRY(bundle, ReadBundle(head.bundle));
  out.head = head;
  out.bundle = bundle;
  out.head_mod_revision = entry->mod_revision;
  return out;
}

Result<StoredRevision> ConfigStore::ReadRevision(uint64_t revision) {
  using Entry = std::optional<KvEntry>;
  BOOST_OUTCOME_TRY(entry, RunUntilDone<Entry>([&](auto done) {
                      store_->Get(keys_.HistoryKey(revision), done);
                    }));
  if (!entry) {
    return Fail(ErrorCode::kNotFound,
                "revision " + std::to_string(revision) + " does not exist");
  }
  StoredRevision out;
  BOOST_OUTCOME_TRY(head, Head::Decode(entry->value));
  BOOST_OUTCOME_TRY(bundle, ReadBundle(head.bundle));
  out.head = head;
  out.bundle = bundle;
  return out;
}

Result<std::vector<Head>> ConfigStore::History(int64_t limit) {
  using Entries = std::vector<KvEntry>;
  BOOST_OUTCOME_TRY(entries, RunUntilDone<Entries>([&](auto done) {
                      store_->List(keys_.HistoryPrefix(), limit, true, done);
                    }));
  std::vector<Head> out;
  for (const KvEntry& it : entries) {
    BOOST_OUTCOME_TRY(head, Head::Decode(it.value));
    out.push_back(head);
  }
  return out;
}

Result<bool> ConfigStore::WasAccepted(const Head& head) {
  using Entry = std::optional<KvEntry>;
  BOOST_OUTCOME_TRY(entry, RunUntilDone<Entry>([&](auto done) {
                      store_->Get(keys_.HistoryKey(head.revision), done);
                    }));
  if (!entry) return false;
  BOOST_OUTCOME_TRY(stored, Head::Decode(entry->value));
  return stored.operation == head.operation;
}

// Retries the same transaction until its outcome is known. The comparison of
// the head's modification revision succeeds at most once: after this
// transaction or another operator's has been committed it can never succeed
// again, and the operation id in the history shows which of the two was
// committed.
ConfigStore::CommitOutcome ConfigStore::Commit(const KvTransaction& txn,
                                               const Head& head) {
  for (int i = 0; i < kMaxCommitAttempts; ++i) {
    auto commit =
        RunUntilDone<KvCommit>([&](auto done) { store_->Commit(txn, done); });
    if (commit && commit.value().succeeded) return CommitOutcome::kAccepted;
    if (commit) {
      auto accepted = WasAccepted(head);
      if (accepted)
        return accepted.value() ? CommitOutcome::kAccepted
                                : CommitOutcome::kRejected;
    }
    loop_->RunOnce(retry_delay_);
  }
  return CommitOutcome::kUnknown;
}

Result<ApplyResult> ConfigStore::Apply(const ApplyRequest& request) {
  BOOST_OUTCOME_TRY(ValidateBundle(request.bundle));
  std::string text = request.bundle.Encode();
  if (text.size() > Bundle::kMaxEncodedBytes) {
    return Fail(ErrorCode::kTooLarge,
                "configuration of " + std::to_string(text.size()) +
                    " bytes exceeds the limit of " +
                    std::to_string(Bundle::kMaxEncodedBytes) + " bytes");
  }
  BOOST_OUTCOME_TRY(current, Read());
  if (request.based_on && *request.based_on != current.head.revision) {
    BOOST_OUTCOME_TRY(edited, ReadRevision(*request.based_on));
    BOOST_OUTCOME_TRY(changes, ChangesBetween(edited.bundle, current.bundle));
    return Fail(ErrorCode::kConflict,
                "revision " + std::to_string(current.head.revision) + " by " +
                    current.head.author +
                    " is newer than the edited revision; changes:" +
                    IndentedLines(changes));
  }
  ApplyResult out;
  if (current.head.revision > 0 && current.bundle == request.bundle) {
    out.head = current.head;
    out.unchanged = true;
    return out;
  }
  BOOST_OUTCOME_TRY(changes, ChangesBetween(current.bundle, request.bundle));
  out.changes = changes;
  out.head.revision = current.head.revision + 1;
  out.head.bundle = Sha256(text);
  out.head.operation = Sha256(RandomBytes(Digest::kBytes))
                           .ToHex()
                           .substr(0, kOperationIdBytes * 2);
  out.head.author = request.author;
  out.head.time_ms = WallClockMs();
  out.head.summary = Summarize(changes);
  KvTransaction txn;
  txn.compares.push_back({keys_.HeadKey(), current.head_mod_revision});
  txn.puts.push_back({keys_.BundleKey(out.head.bundle), text});
  txn.puts.push_back({keys_.HistoryKey(out.head.revision), out.head.Encode()});
  txn.puts.push_back({keys_.HeadKey(), out.head.Encode()});
  switch (Commit(txn, out.head)) {
    case CommitOutcome::kAccepted:
      return out;
    case CommitOutcome::kUnknown:
      return Fail(ErrorCode::kUnavailable,
                  "the key-value service does not respond; operation " +
                      out.head.operation +
                      " may have been accepted: check 'config history'");
    case CommitOutcome::kRejected:
      break;
  }
  BOOST_OUTCOME_TRY(winner, Read());
  BOOST_OUTCOME_TRY(winner_changes,
                    ChangesBetween(current.bundle, winner.bundle));
  return Fail(
      ErrorCode::kConflict,
      "not accepted: revision " + std::to_string(winner.head.revision) +
          " by " + winner.head.author +
          " was accepted first; changes:" + IndentedLines(winner_changes));
}

}  // namespace primrosecove
