------------------------------- MODULE Calls -------------------------------
(* Non-idempotent calls of one shard: at most one call runs for each key,     *)
(* even if processes are killed or paused and answers of the store are late   *)
(* or lost. A key stands for its time of issue, so a key window is a set of   *)
(* keys. The process states are those of charts/shard-owner.toml.             *)
EXTENDS Naturals, FiniteSets

CONSTANTS
  Processes, KeyCount, RequestCount,
  MaxWrites,          \* most writes of the shard's record in one checked run
  CheckWindow,        \* guard: an owner runs only keys in its acknowledged window
  ExcludeOldWindow,   \* guard: a takeover makes the former owner's window ambiguous
  IntersectProposed,  \* guard: during a write, a key must be in both windows
  FlushStarted,       \* guard: writes of the record include the started calls
  RequireGrant        \* guard: a call runs only after its entry granted its start

Keys == 1..KeyCount

Requests == 1..RequestCount

\* The key of a request. Several requests share a key, as a caller's retries do.
KeyOf(r) == ((r - 1) % KeyCount) + 1

VARIABLES store, process, sentWrites, appliedIds, runCount, ranRequests, requestState, settledKeys

vars == <<store, process, sentWrites, appliedIds, runCount, ranRequests, requestState, settledKeys>>

\* Placeholder for a process that has no write in progress.
NoWrite == [id |-> 0, baseRevision |-> 0, epoch |-> 0, window |-> {}, ambiguous |-> {},
            recordedKeys |-> {}, isRelease |-> FALSE]

\* State of a process that does not own the shard.
Unowned == [state |-> "unowned", epoch |-> 0, window |-> {}, ambiguous |-> {},
            recordedKeys |-> {}, revision |-> 0, proposed |-> NoWrite, settlingKeys |-> {}]

Init ==
  /\ store = [revision |-> 0, epoch |-> 0, window |-> {}, ambiguous |-> {}, recordedKeys |-> {}]
  /\ process = [p \in Processes |-> Unowned]
  /\ sentWrites = {}
  /\ appliedIds = {}
  /\ runCount = [k \in Keys |-> 0]
  /\ ranRequests = {}
  /\ requestState = [r \in Requests |-> "sent"]
  /\ settledKeys = {}

\* Id of the next write of the record.
NextWriteId == Cardinality(sentWrites) + 1

\* Process p sends a write of the record to the store and enters a state.
Propose(p, state, write) ==
  /\ Cardinality(sentWrites) < MaxWrites
  /\ sentWrites' = sentWrites \cup {write}
  /\ process' = [process EXCEPT ![p].state = state, ![p].proposed = write]

\* A process that does not own the shard starts to read the record, to claim the shard.
Claim(p) ==
  /\ process[p].state = "unowned"
  /\ process' = [process EXCEPT ![p] = [Unowned EXCEPT !.state = "reading"]]
  /\ UNCHANGED <<store, sentWrites, appliedIds, runCount, ranRequests, requestState, settledKeys>>

\* The record could not be read, so the process gives up its claim.
ReadFailed(p) ==
  /\ process[p].state = "reading"
  /\ process' = [process EXCEPT ![p] = Unowned]
  /\ UNCHANGED <<store, sentWrites, appliedIds, runCount, ranRequests, requestState, settledKeys>>

\* record_read: the process proposes its takeover, with a new epoch and a new window.
RecordRead(p) ==
  /\ process[p].state = "reading"
  /\ \E w \in SUBSET Keys :
       Propose(p, "claiming",
         [id |-> NextWriteId, baseRevision |-> store.revision, epoch |-> store.epoch + 1,
          window |-> w,
          ambiguous |-> store.ambiguous \cup (IF ExcludeOldWindow THEN store.window ELSE {}),
          recordedKeys |-> store.recordedKeys, isRelease |-> FALSE])
  /\ UNCHANGED <<store, appliedIds, runCount, ranRequests, requestState, settledKeys>>

\* The owner proposes another window for the same epoch.
ProposeWindow(p) ==
  /\ process[p].state = "owned"
  /\ process[p].proposed = NoWrite
  /\ \E w \in SUBSET Keys :
       Propose(p, "owned",
         [id |-> NextWriteId, baseRevision |-> process[p].revision, epoch |-> process[p].epoch,
          window |-> w, ambiguous |-> process[p].ambiguous,
          recordedKeys |-> IF FlushStarted THEN process[p].recordedKeys ELSE {},
          isRelease |-> FALSE])
  /\ UNCHANGED <<store, appliedIds, runCount, ranRequests, requestState, settledKeys>>

\* The owner starts to release the shard.
Release(p) ==
  /\ process[p].state = "owned"
  /\ process' = [process EXCEPT ![p].state = "releasing"]
  /\ UNCHANGED <<store, sentWrites, appliedIds, runCount, ranRequests, requestState, settledKeys>>

\* The releasing owner proposes an empty window, in its last write of the record.
WriteRelease(p) ==
  /\ process[p].state = "releasing"
  /\ process[p].proposed = NoWrite
  /\ Propose(p, "releasing",
       [id |-> NextWriteId, baseRevision |-> process[p].revision, epoch |-> process[p].epoch,
        window |-> {}, ambiguous |-> process[p].ambiguous,
        recordedKeys |-> IF FlushStarted THEN process[p].recordedKeys ELSE {}, isRelease |-> TRUE])
  /\ UNCHANGED <<store, appliedIds, runCount, ranRequests, requestState, settledKeys>>

\* A write takes effect at any time, even after its process was killed or retried the write.
ApplyWrite(w) ==
  /\ w.id \notin appliedIds
  /\ w.baseRevision = store.revision
  /\ store' = [revision |-> store.revision + 1, epoch |-> w.epoch, window |-> w.window,
               ambiguous |-> w.ambiguous, recordedKeys |-> w.recordedKeys]
  /\ appliedIds' = appliedIds \cup {w.id}
  /\ UNCHANGED <<process, sentWrites, runCount, ranRequests, requestState, settledKeys>>

\* write_acknowledged or release_acknowledged, possibly long after the write took effect.
Acknowledge(p) ==
  LET w == process[p].proposed IN
  /\ w # NoWrite
  /\ w.id \in appliedIds
  /\ process' = [process EXCEPT ![p] =
       IF w.isRelease THEN [Unowned EXCEPT !.state = "released"]
       ELSE [@ EXCEPT !.state = IF @ = "claiming" THEN "owned" ELSE @,
                      !.epoch = w.epoch, !.window = w.window, !.ambiguous = w.ambiguous,
                      !.recordedKeys = @ \cup w.recordedKeys, !.revision = w.baseRevision + 1,
                      !.proposed = NoWrite, !.settlingKeys = {}]]
  /\ settledKeys' = settledKeys \cup (process[p].settlingKeys \cap w.recordedKeys)
  /\ UNCHANGED <<store, sentWrites, appliedIds, runCount, ranRequests, requestState>>

\* The store refuses the write of a process, as the record has a newer revision.
WriteConflict(p) ==
  LET w == process[p].proposed IN
  /\ w # NoWrite
  /\ w.id \notin appliedIds
  /\ w.baseRevision < store.revision
  /\ process' = [process EXCEPT ![p] = Unowned]
  /\ UNCHANGED <<store, sentWrites, appliedIds, runCount, ranRequests, requestState, settledKeys>>

\* A process is killed and replaced by one that does not own the shard.
Kill(p) ==
  /\ process[p] # Unowned
  /\ process' = [process EXCEPT ![p] = Unowned]
  /\ UNCHANGED <<store, sentWrites, appliedIds, runCount, ranRequests, requestState, settledKeys>>

\* Process p may run key k.
Runnable(p, k) ==
  LET s == process[p] IN
  /\ s.state \in {"owned", "releasing"}
  /\ CheckWindow => k \in s.window
  /\ (IntersectProposed /\ s.proposed # NoWrite) => k \in s.proposed.window
  /\ k \notin s.ambiguous
  /\ k \notin s.recordedKeys

\* Process p runs request r at the upstream.
Run(p, r) ==
  LET k == KeyOf(r) IN
  /\ Runnable(p, k)
  /\ r \notin ranRequests
  /\ RequireGrant => requestState[r] \in {"granted", "told_unknown"}
  /\ runCount' = [runCount EXCEPT ![k] = @ + 1]
  /\ ranRequests' = ranRequests \cup {r}
  /\ process' = [process EXCEPT ![p].recordedKeys = @ \cup {k}]
  /\ UNCHANGED <<store, sentWrites, appliedIds, requestState, settledKeys>>

\* The owner records a key as not run, so that the next write settles it.
Settle(p, k) ==
  /\ process[p].state = "owned"
  /\ process[p].proposed = NoWrite
  /\ k \notin process[p].recordedKeys \cup process[p].ambiguous
  /\ process' = [process EXCEPT ![p].recordedKeys = @ \cup {k}, ![p].settlingKeys = @ \cup {k}]
  /\ UNCHANGED <<store, sentWrites, appliedIds, runCount, ranRequests, requestState, settledKeys>>

\* The entry grants the start of a request.
Grant(r) ==
  /\ requestState[r] = "sent"
  /\ requestState' = [requestState EXCEPT ![r] = "granted"]
  /\ UNCHANGED <<store, process, sentWrites, appliedIds, runCount, ranRequests, settledKeys>>

\* The entry stops waiting. It reports "not run" before its grant, and "unknown" afterwards.
GiveUp(r) ==
  /\ requestState[r] \in {"sent", "granted"}
  /\ requestState' = [requestState EXCEPT ![r] =
       IF @ = "sent" THEN "told_not_run" ELSE "told_unknown"]
  /\ UNCHANGED <<store, process, sentWrites, appliedIds, runCount, ranRequests, settledKeys>>

Next ==
  \/ \E p \in Processes :
       \/ Claim(p) \/ ReadFailed(p) \/ RecordRead(p) \/ ProposeWindow(p) \/ Release(p)
       \/ WriteRelease(p) \/ Acknowledge(p) \/ WriteConflict(p) \/ Kill(p)
       \/ \E r \in Requests : Run(p, r)
       \/ \E k \in Keys : Settle(p, k)
  \/ \E w \in sentWrites : ApplyWrite(w)
  \/ \E r \in Requests : Grant(r) \/ GiveUp(r)

Spec == Init /\ [][Next]_vars

\* Invariant: no key runs more than once.
AtMostOnce == \A k \in Keys : runCount[k] <= 1

\* Invariant: a request that was reported as not run did not run.
NotRunIsTrue == \A r \in Requests : requestState[r] = "told_not_run" => r \notin ranRequests

\* Invariant: a key that was settled as not run has not run.
SettledNeverRuns == \A k \in settledKeys : runCount[k] = 0
=============================================================================
