--------------------------- MODULE Configuration ---------------------------
(* Configuration changes: no process ever goes back to a state without an     *)
(* accepted change, concurrent operators' commands take effect in one order,  *)
(* and a command without an answer is reported as what it became. The store   *)
(* holds the sequence of accepted commands; the sequence's length is the      *)
(* configuration version. Each process holds a prefix of the sequence.        *)
EXTENDS Naturals, Sequences, FiniteSets

CONSTANTS
  Commands, Processes,
  CompareAndSet,   \* guard: a write succeeds only on the version that it is based on
  OnlyHigher,      \* guard: a process accepts only a higher version than its own
  SettleById       \* guard: the stored command id settles a lost answer

VARIABLES store, command, process, highestVersion

vars == <<store, command, process, highestVersion>>

\* Sequence a is a prefix of sequence b.
IsPrefix(a, b) == Len(a) <= Len(b) /\ SubSeq(b, 1, Len(a)) = a

\* The sequence of accepted commands contains command c.
IsStored(c, log) == \E i \in 1..Len(log) : log[i] = c

Init ==
  /\ store = <<>>
  /\ command = [c \in Commands |-> [state |-> "new", baseLog |-> <<>>]]
  /\ process = [p \in Processes |-> <<>>]
  /\ highestVersion = [p \in Processes |-> 0]

\* The operator of command c reads the store, on which the command's write is then based.
ReadStore(c) ==
  /\ command[c].state = "new"
  /\ command' = [command EXCEPT ![c] = [state |-> "writing", baseLog |-> store]]
  /\ UNCHANGED <<store, process, highestVersion>>

\* The write of command c takes effect. Its answer is "accepted" or is lost.
WriteCommand(c) ==
  /\ command[c].state \in {"writing", "unanswered"}
  /\ ~IsStored(c, store)
  /\ CompareAndSet => store = command[c].baseLog
  /\ store' = Append(command[c].baseLog, c)
  /\ \E s \in {"accepted", "unanswered"} : command' = [command EXCEPT ![c].state = s]
  /\ UNCHANGED <<process, highestVersion>>

\* The answer is lost before the write takes effect; the write may still take effect later.
LoseAnswer(c) ==
  /\ command[c].state = "writing"
  /\ command' = [command EXCEPT ![c].state = "unanswered"]
  /\ UNCHANGED <<store, process, highestVersion>>

\* The store refuses the write, as another command was stored first.
RefuseWrite(c) ==
  /\ command[c].state = "writing"
  /\ store # command[c].baseLog
  /\ command' = [command EXCEPT ![c].state = "rejected"]
  /\ UNCHANGED <<store, process, highestVersion>>

\* The store is read to settle a lost answer. While the version is unchanged, the write may still
\* take effect.
SettleUnanswered(c) ==
  /\ command[c].state = "unanswered"
  /\ command' = [command EXCEPT ![c].state =
       IF SettleById
       THEN IF IsStored(c, store) THEN "accepted"
            ELSE IF store # command[c].baseLog THEN "rejected" ELSE "unanswered"
       ELSE "rejected"]
  /\ UNCHANGED <<store, process, highestVersion>>

\* A process that watches the store reads the newest configuration.
ReadWatch(p) ==
  /\ process' = [process EXCEPT ![p] = store]
  /\ highestVersion' = [highestVersion EXCEPT ![p] = IF Len(store) > @ THEN Len(store) ELSE @]
  /\ UNCHANGED <<store, command>>

\* Process p sends its configuration to process q.
PushToProcess(p, q) ==
  /\ OnlyHigher => Len(process[p]) > Len(process[q])
  /\ process' = [process EXCEPT ![q] = process[p]]
  /\ highestVersion' = [highestVersion EXCEPT ![q] =
       IF Len(process[p]) > @ THEN Len(process[p]) ELSE @]
  /\ UNCHANGED <<store, command>>

\* A process is replaced by a new one, which refuses work until it has a configuration.
ReplaceProcess(p) ==
  /\ process' = [process EXCEPT ![p] = <<>>]
  /\ highestVersion' = [highestVersion EXCEPT ![p] = 0]
  /\ UNCHANGED <<store, command>>

Next ==
  \/ \E c \in Commands :
       \/ ReadStore(c) \/ WriteCommand(c) \/ LoseAnswer(c) \/ RefuseWrite(c)
       \/ SettleUnanswered(c)
  \/ \E p, q \in Processes : ReadWatch(p) \/ PushToProcess(p, q) \/ ReplaceProcess(p)

Spec == Init /\ [][Next]_vars

\* Invariant: an accepted command stays in the store.
AcceptedStays == \A c \in Commands : command[c].state = "accepted" => IsStored(c, store)

\* Invariant: a rejected command never takes effect.
RejectedHasNoEffect == \A c \in Commands : command[c].state = "rejected" => ~IsStored(c, store)

\* Invariant: no process has a lower version than it had before.
ProcessesNeverRevert == \A p \in Processes : Len(process[p]) >= highestVersion[p]

\* Invariant: every process has the accepted commands in the order of the store.
OneOrder == \A p \in Processes : IsPrefix(process[p], store)
=============================================================================
