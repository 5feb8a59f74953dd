--------------------------- MODULE RestoredStore ---------------------------
(* The gateway's copy of the configuration before a store that can come back  *)
(* with an older copy of its content. Revisions are given out again; each     *)
(* restoration raises the era. The operators write their newest version again *)
(* within the time after which a history is settled. The store is a log whose *)
(* length is the revision; an entry is a version, or 0 for any other write.   *)
EXTENDS Naturals, Sequences

CONSTANTS
  Gateways, MaxVersion, MaxWrites, MaxEra,
  CompareEra,    \* guard: a position is continued only in the era in which it was read
  AwaitSettled,  \* guard: only a settled history confirms a copy
  OnlyNewer      \* guard: a gateway accepts only a newer version than its own

VARIABLES log, era, settled, acknowledged, gateway

vars == <<log, era, settled, acknowledged, gateway>>

Max(a, b) == IF a > b THEN a ELSE b

\* The newest version among the entries after a revision; 0 if there is none.
RECURSIVE NewestAfter(_, _)
NewestAfter(entries, revision) ==
  IF revision >= Len(entries) THEN 0
  ELSE Max(entries[revision + 1], NewestAfter(entries, revision + 1))

Newest(entries) == NewestAfter(entries, 0)

\* The newest acknowledged version is in the store.
IsComplete == Newest(log) = acknowledged

NoCopy == [revision |-> 0, era |-> 0, version |-> 0, highest |-> 0, seen |-> <<0, 0>>,
           confirmedOld |-> FALSE]

Init ==
  /\ log = <<>>
  /\ era = 1
  /\ settled = TRUE
  /\ acknowledged = 0
  /\ gateway = [g \in Gateways |-> NoCopy]

\* The operators write a new version, which is complete in itself.
Publish ==
  /\ acknowledged < MaxVersion
  /\ Len(log) < MaxWrites
  /\ log' = Append(log, acknowledged + 1)
  /\ acknowledged' = acknowledged + 1
  /\ UNCHANGED <<era, settled, gateway>>

\* An upstream or a gateway writes an entry of its own.
WriteOther ==
  /\ Len(log) < MaxWrites
  /\ log' = Append(log, 0)
  /\ UNCHANGED <<era, settled, acknowledged, gateway>>

\* The store comes back with the entries up to a revision.
Restore(revision) ==
  /\ era < MaxEra
  /\ log' = SubSeq(log, 1, revision)
  /\ era' = era + 1
  /\ settled' = FALSE
  /\ UNCHANGED <<acknowledged, gateway>>

\* The operators write their newest version again.
WriteAgain ==
  /\ ~IsComplete
  /\ Len(log) < MaxWrites
  /\ log' = Append(log, acknowledged)
  /\ UNCHANGED <<era, settled, acknowledged, gateway>>

\* The time within which the operators write again has passed.
Settle ==
  /\ ~settled /\ IsComplete
  /\ settled' = TRUE
  /\ UNCHANGED <<log, era, acknowledged, gateway>>

\* A gateway reads what changed after its position, or everything if the position is of no use.
Read(g) ==
  LET copy == gateway[g]
      sameEra == ~CompareEra \/ copy.era = era
      from == IF sameEra /\ copy.revision <= Len(log) THEN copy.revision ELSE 0
      read == NewestAfter(log, from)
      version == IF read = 0 THEN copy.version
                 ELSE IF OnlyNewer THEN Max(copy.version, read) ELSE read
      confirmed == AwaitSettled => settled
  IN gateway' = [gateway EXCEPT ![g] =
       [revision |-> Len(log), era |-> era, version |-> version,
        highest |-> Max(copy.highest, version), seen |-> <<era, Len(log)>>,
        confirmedOld |-> confirmed /\ version < acknowledged]]
  /\ UNCHANGED <<log, era, settled, acknowledged>>

\* A gateway is replaced by one without a copy.
Replace(g) ==
  /\ gateway' = [gateway EXCEPT ![g] = NoCopy]
  /\ UNCHANGED <<log, era, settled, acknowledged>>

Next ==
  \/ Publish \/ WriteOther \/ WriteAgain \/ Settle
  \/ \E revision \in 0..Len(log) : Restore(revision)
  \/ \E g \in Gateways : Read(g) \/ Replace(g)

Spec == Init /\ [][Next]_vars

\* Invariant: a gateway that has read the whole log has its newest version.
NoChangeIsMissed ==
  \A g \in Gateways : gateway[g].seen = <<era, Len(log)>> => gateway[g].version >= Newest(log)

\* Invariant: no copy was confirmed while it lacked an acknowledged version.
ConfirmedIsNewest == \A g \in Gateways : ~gateway[g].confirmedOld

\* Invariant: no gateway has an older version than it had before.
GatewaysNeverRevert == \A g \in Gateways : gateway[g].version >= gateway[g].highest
=============================================================================
