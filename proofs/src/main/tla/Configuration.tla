--------------------------- MODULE Configuration ---------------------------
(* Configuration: an accepted change never reverts in any process, racing     *)
(* operators are ordered, and a lost answer is settled truthfully.            *)
(* The store holds the sequence of accepted commands; its length is the       *)
(* version. A process holds a prefix of it.                                   *)
EXTENDS Naturals, Sequences, FiniteSets

CONSTANTS
  Commands, Processes,
  CompareAndSet,   \* guard: a write names the version that it was made from
  OnlyHigher,      \* guard: a process accepts only a higher version
  SettleById       \* guard: a lost answer is settled by the command's identity

VARIABLES store, command, process, seen

vars == <<store, command, process, seen>>

IsPrefix(a, b) == Len(a) <= Len(b) /\ SubSeq(b, 1, Len(a)) = a

In(c, log) == \E i \in 1..Len(log) : log[i] = c

Init ==
  /\ store = <<>>
  /\ command = [c \in Commands |-> [state |-> "new", base |-> <<>>]]
  /\ process = [p \in Processes |-> <<>>]
  /\ seen = [p \in Processes |-> 0]

Read(c) ==
  /\ command[c].state = "new"
  /\ command' = [command EXCEPT ![c] = [state |-> "writing", base |-> store]]
  /\ UNCHANGED <<store, process, seen>>

\* The write takes effect. Its answer is "accepted", or is lost.
Write(c) ==
  /\ command[c].state \in {"writing", "unanswered"}
  /\ ~In(c, store)
  /\ CompareAndSet => store = command[c].base
  /\ store' = Append(command[c].base, c)
  /\ \E s \in {"accepted", "unanswered"} : command' = [command EXCEPT ![c].state = s]
  /\ UNCHANGED <<process, seen>>

\* The answer is lost although the write has not taken effect, and it still may.
Lose(c) ==
  /\ command[c].state = "writing"
  /\ command' = [command EXCEPT ![c].state = "unanswered"]
  /\ UNCHANGED <<store, process, seen>>

Conflict(c) ==
  /\ command[c].state = "writing"
  /\ store # command[c].base
  /\ command' = [command EXCEPT ![c].state = "rejected"]
  /\ UNCHANGED <<store, process, seen>>

\* Settling reads the store. Until the version has moved on, the write may still take effect.
Settle(c) ==
  /\ command[c].state = "unanswered"
  /\ command' = [command EXCEPT ![c].state =
       IF SettleById
       THEN IF In(c, store) THEN "accepted"
            ELSE IF store # command[c].base THEN "rejected" ELSE "unanswered"
       ELSE "rejected"]
  /\ UNCHANGED <<store, process, seen>>

Watch(p) ==
  /\ process' = [process EXCEPT ![p] = store]
  /\ seen' = [seen EXCEPT ![p] = IF Len(store) > @ THEN Len(store) ELSE @]
  /\ UNCHANGED <<store, command>>

Push(p, q) ==
  /\ OnlyHigher => Len(process[p]) > Len(process[q])
  /\ process' = [process EXCEPT ![q] = process[p]]
  /\ seen' = [seen EXCEPT ![q] = IF Len(process[p]) > @ THEN Len(process[p]) ELSE @]
  /\ UNCHANGED <<store, command>>

\* A replaced process starts without a configuration and refuses work until it has one.
Replace(p) ==
  /\ process' = [process EXCEPT ![p] = <<>>]
  /\ seen' = [seen EXCEPT ![p] = 0]
  /\ UNCHANGED <<store, command>>

Next ==
  \/ \E c \in Commands : Read(c) \/ Write(c) \/ Lose(c) \/ Conflict(c) \/ Settle(c)
  \/ \E p, q \in Processes : Watch(p) \/ Push(p, q) \/ Replace(p)

Spec == Init /\ [][Next]_vars

AcceptedStays == \A c \in Commands : command[c].state = "accepted" => In(c, store)

RejectedHasNoEffect == \A c \in Commands : command[c].state = "rejected" => ~In(c, store)

ProcessesNeverRevert == \A p \in Processes : Len(process[p]) >= seen[p]

OneOrder == \A p \in Processes : IsPrefix(process[p], store)
=============================================================================
