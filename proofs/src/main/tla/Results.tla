------------------------------ MODULE Results ------------------------------
(* Stage results of streamed requests: each item reaches its own request      *)
(* exactly once, and an answer is reported as complete only if all its items  *)
(* have arrived. Messages are late, duplicated and reordered; stages are      *)
(* retried, and streams are resumed.                                          *)
EXTENDS Naturals, FiniteSets, Sequences

CONSTANTS
  Requests, Stages, Length, MaxAttempts,
  CheckRequest,   \* guard: a message must name the request that takes it
  CheckStage,     \* guard: a message must name the stage that is running
  CheckPosition,  \* guard: a request takes an item only at its next position
  CheckCount      \* guard: a stage ends only if all its items have arrived

ASSUME Stages \in Nat /\ Stages > 0

VARIABLES request, messages, takenItems

vars == <<request, messages, takenItems>>

Items == 1..Length

Init ==
  /\ request = [r \in Requests |->
       [state |-> "running", stage |-> 1, attempt |-> 1, next |-> 1]]
  /\ messages = {}
  /\ takenItems = [r \in Requests |-> <<>>]

\* An upstream sends an item of a stage or the end of the stage, from the requested position on.
\* Messages stay in the set, so each may arrive several times and in any order.
SendMessage(r, kind, position) ==
  /\ request[r].state = "running"
  /\ position >= IF kind = "item" THEN request[r].next ELSE 0
  /\ messages' = messages \cup
       {[request |-> r, stage |-> request[r].stage, kind |-> kind, position |-> position]}
  /\ UNCHANGED <<request, takenItems>>

\* The running stage of a request is retried.
RetryStage(r) ==
  /\ request[r].state = "running"
  /\ request[r].attempt < MaxAttempts
  /\ request' = [request EXCEPT ![r].attempt = @ + 1]
  /\ UNCHANGED <<messages, takenItems>>

\* A request ends without an answer.
RefuseRequest(r) ==
  /\ request[r].state = "running"
  /\ request' = [request EXCEPT ![r].state = "refused"]
  /\ UNCHANGED <<messages, takenItems>>

\* Request r accepts message m, as far as the request and stage of m are concerned.
AcceptsMessage(r, m) ==
  /\ request[r].state = "running"
  /\ CheckRequest => m.request = r
  /\ CheckStage => m.stage = request[r].stage

\* A request takes an item.
TakeItem(r, m) ==
  /\ m.kind = "item"
  /\ AcceptsMessage(r, m)
  /\ CheckPosition => m.position = request[r].next
  /\ Len(takenItems[r]) < Stages * Length + 1
  /\ takenItems' = [takenItems EXCEPT ![r] = Append(@, m)]
  /\ request' = [request EXCEPT ![r].next = @ + 1]
  /\ UNCHANGED messages

\* The end of the running stage starts the next stage, or completes the request.
TakeEnd(r, m) ==
  /\ m.kind = "end"
  /\ AcceptsMessage(r, m)
  /\ CheckCount => request[r].next = m.position + 1
  /\ request' = [request EXCEPT ![r] =
       IF @.stage = Stages THEN [@ EXCEPT !.state = "answered"]
       ELSE [@ EXCEPT !.stage = @ + 1, !.next = 1, !.attempt = 1]]
  /\ UNCHANGED <<messages, takenItems>>

Next ==
  \/ \E r \in Requests :
       \/ RetryStage(r) \/ RefuseRequest(r)
       \/ \E i \in Items : SendMessage(r, "item", i)
       \/ SendMessage(r, "end", Length)
       \/ \E m \in messages : TakeItem(r, m) \/ TakeEnd(r, m)

Spec == Init /\ [][Next]_vars

\* Invariant: a request takes only items that are its own.
Own == \A r \in Requests : \A i \in DOMAIN takenItems[r] : takenItems[r][i].request = r

\* Invariant: a request takes no item twice.
ExactlyOnce == \A r \in Requests : \A i, j \in DOMAIN takenItems[r] :
  i # j => takenItems[r][i] # takenItems[r][j]

\* Invariant: an answered request has taken all items of all stages, in order.
WholeOrRefused == \A r \in Requests : request[r].state = "answered" =>
  /\ Cardinality(DOMAIN takenItems[r]) = Stages * Length
  /\ \A i \in DOMAIN takenItems[r] :
       /\ takenItems[r][i].position = ((i - 1) % Length) + 1
       /\ takenItems[r][i].stage = ((i - 1) \div Length) + 1
=============================================================================
