------------------------------- MODULE Calls -------------------------------
(* Non-idempotent calls of one shard: a call runs at most once for its key,   *)
(* whatever processes are killed or paused, and whatever answers of the store *)
(* are late or lost. A key stands for its time of issue, so a window is a set *)
(* of keys. Process states are those of charts/shard-owner.toml.              *)
EXTENDS Naturals, FiniteSets

CONSTANTS
  Processes, KeyCount, RequestCount,
  MaxWrites,          \* bound on writes of the record
  CheckWindow,        \* guard: run only keys in the acknowledged window
  ExcludeOldWindow,   \* guard: a takeover makes the old window ambiguous
  IntersectProposed,  \* guard: while a write is pending, both windows count
  FlushStarted,       \* guard: the record lists the calls that started
  RequireGrant        \* guard: a call runs only after its entry granted it

Keys == 1..KeyCount

Requests == 1..RequestCount

\* Several requests carry the same key, as a caller's retries do.
KeyOf(r) == ((r - 1) % KeyCount) + 1

VARIABLES store, process, network, applied, runs, ran, request, settled

vars == <<store, process, network, applied, runs, ran, request, settled>>

NoWrite == [id |-> 0, base |-> 0, epoch |-> 0, window |-> {}, ambiguous |-> {},
            recorded |-> {}, final |-> FALSE]

Unowned == [state |-> "unowned", epoch |-> 0, window |-> {}, ambiguous |-> {},
            recorded |-> {}, revision |-> 0, proposed |-> NoWrite, settling |-> {}]

Init ==
  /\ store = [revision |-> 0, epoch |-> 0, window |-> {}, ambiguous |-> {}, recorded |-> {}]
  /\ process = [p \in Processes |-> Unowned]
  /\ network = {}
  /\ applied = {}
  /\ runs = [k \in Keys |-> 0]
  /\ ran = {}
  /\ request = [r \in Requests |-> "sent"]
  /\ settled = {}

NextId == Cardinality(network) + 1

Propose(p, state, write) ==
  /\ Cardinality(network) < MaxWrites
  /\ network' = network \cup {write}
  /\ process' = [process EXCEPT ![p].state = state, ![p].proposed = write]

Claim(p) ==
  /\ process[p].state = "unowned"
  /\ process' = [process EXCEPT ![p] = [Unowned EXCEPT !.state = "reading"]]
  /\ UNCHANGED <<store, network, applied, runs, ran, request, settled>>

ReadFailed(p) ==
  /\ process[p].state = "reading"
  /\ process' = [process EXCEPT ![p] = Unowned]
  /\ UNCHANGED <<store, network, applied, runs, ran, request, settled>>

\* record_read: the takeover is proposed with a window of its own.
RecordRead(p) ==
  /\ process[p].state = "reading"
  /\ \E w \in SUBSET Keys :
       Propose(p, "claiming",
         [id |-> NextId, base |-> store.revision, epoch |-> store.epoch + 1, window |-> w,
          ambiguous |-> store.ambiguous \cup (IF ExcludeOldWindow THEN store.window ELSE {}),
          recorded |-> store.recorded, final |-> FALSE])
  /\ UNCHANGED <<store, applied, runs, ran, request, settled>>

Extend(p) ==
  /\ process[p].state = "owned"
  /\ process[p].proposed = NoWrite
  /\ \E w \in SUBSET Keys :
       Propose(p, "owned",
         [id |-> NextId, base |-> process[p].revision, epoch |-> process[p].epoch, window |-> w,
          ambiguous |-> process[p].ambiguous,
          recorded |-> IF FlushStarted THEN process[p].recorded ELSE {}, final |-> FALSE])
  /\ UNCHANGED <<store, applied, runs, ran, request, settled>>

Release(p) ==
  /\ process[p].state = "owned"
  /\ process' = [process EXCEPT ![p].state = "releasing"]
  /\ UNCHANGED <<store, network, applied, runs, ran, request, settled>>

WriteRelease(p) ==
  /\ process[p].state = "releasing"
  /\ process[p].proposed = NoWrite
  /\ Propose(p, "releasing",
       [id |-> NextId, base |-> process[p].revision, epoch |-> process[p].epoch, window |-> {},
        ambiguous |-> process[p].ambiguous,
        recorded |-> IF FlushStarted THEN process[p].recorded ELSE {}, final |-> TRUE])
  /\ UNCHANGED <<store, applied, runs, ran, request, settled>>

\* A write takes effect at any time, also after its process died or retried it.
Apply(w) ==
  /\ w.id \notin applied
  /\ w.base = store.revision
  /\ store' = [revision |-> store.revision + 1, epoch |-> w.epoch, window |-> w.window,
               ambiguous |-> w.ambiguous, recorded |-> w.recorded]
  /\ applied' = applied \cup {w.id}
  /\ UNCHANGED <<process, network, runs, ran, request, settled>>

\* write_acknowledged or release_acknowledged, possibly long after the effect.
Acknowledge(p) ==
  LET w == process[p].proposed IN
  /\ w # NoWrite
  /\ w.id \in applied
  /\ process' = [process EXCEPT ![p] =
       IF w.final THEN [Unowned EXCEPT !.state = "released"]
       ELSE [@ EXCEPT !.state = IF @ = "claiming" THEN "owned" ELSE @,
                      !.epoch = w.epoch, !.window = w.window, !.ambiguous = w.ambiguous,
                      !.recorded = @ \cup w.recorded, !.revision = w.base + 1,
                      !.proposed = NoWrite, !.settling = {}]]
  /\ settled' = settled \cup (process[p].settling \cap w.recorded)
  /\ UNCHANGED <<store, network, applied, runs, ran, request>>

WriteConflict(p) ==
  LET w == process[p].proposed IN
  /\ w # NoWrite
  /\ w.id \notin applied
  /\ w.base < store.revision
  /\ process' = [process EXCEPT ![p] = Unowned]
  /\ UNCHANGED <<store, network, applied, runs, ran, request, settled>>

Kill(p) ==
  /\ process[p] # Unowned
  /\ process' = [process EXCEPT ![p] = Unowned]
  /\ UNCHANGED <<store, network, applied, runs, ran, request, settled>>

Runnable(p, k) ==
  LET s == process[p] IN
  /\ s.state \in {"owned", "releasing"}
  /\ CheckWindow => k \in s.window
  /\ (IntersectProposed /\ s.proposed # NoWrite) => k \in s.proposed.window
  /\ k \notin s.ambiguous
  /\ k \notin s.recorded

Run(p, r) ==
  LET k == KeyOf(r) IN
  /\ Runnable(p, k)
  /\ r \notin ran
  /\ RequireGrant => request[r] \in {"granted", "told_unknown"}
  /\ runs' = [runs EXCEPT ![k] = @ + 1]
  /\ ran' = ran \cup {r}
  /\ process' = [process EXCEPT ![p].recorded = @ \cup {k}]
  /\ UNCHANGED <<store, network, applied, request, settled>>

Settle(p, k) ==
  /\ process[p].state = "owned"
  /\ process[p].proposed = NoWrite
  /\ k \notin process[p].recorded \cup process[p].ambiguous
  /\ process' = [process EXCEPT ![p].recorded = @ \cup {k}, ![p].settling = @ \cup {k}]
  /\ UNCHANGED <<store, network, applied, runs, ran, request, settled>>

Grant(r) ==
  /\ request[r] = "sent"
  /\ request' = [request EXCEPT ![r] = "granted"]
  /\ UNCHANGED <<store, process, network, applied, runs, ran, settled>>

\* The entry gives up: truthfully not run before its grant, unknown afterwards.
GiveUp(r) ==
  /\ request[r] \in {"sent", "granted"}
  /\ request' = [request EXCEPT ![r] = IF @ = "sent" THEN "told_not_run" ELSE "told_unknown"]
  /\ UNCHANGED <<store, process, network, applied, runs, ran, settled>>

Next ==
  \/ \E p \in Processes :
       \/ Claim(p) \/ ReadFailed(p) \/ RecordRead(p) \/ Extend(p) \/ Release(p)
       \/ WriteRelease(p) \/ Acknowledge(p) \/ WriteConflict(p) \/ Kill(p)
       \/ \E r \in Requests : Run(p, r)
       \/ \E k \in Keys : Settle(p, k)
  \/ \E w \in network : Apply(w)
  \/ \E r \in Requests : Grant(r) \/ GiveUp(r)

Spec == Init /\ [][Next]_vars

AtMostOnce == \A k \in Keys : runs[k] <= 1

NotRunIsTrue == \A r \in Requests : request[r] = "told_not_run" => r \notin ran

SettledNeverRuns == \A k \in settled : runs[k] = 0
=============================================================================
