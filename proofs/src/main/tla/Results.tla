------------------------------ MODULE Results ------------------------------
(* Stage results of streamed requests: each reaches its own request exactly   *)
(* once, and an answer is called whole only if it is. Messages are late,      *)
(* duplicated and reordered; stages are retried, and streams resumed.         *)
EXTENDS Naturals, FiniteSets, Sequences

CONSTANTS
  Requests, Stages, Length, MaxAttempts,
  CheckRequest,   \* guard: a message must carry the request's identity
  CheckStage,     \* guard: a message must belong to the stage that is running
  CheckPosition,  \* guard: an item is taken only at the next position
  CheckCount      \* guard: the end counts only if all items have arrived

ASSUME Stages \in Nat /\ Stages > 0

VARIABLES request, messages, taken

vars == <<request, messages, taken>>

Items == 1..Length

Init ==
  /\ request = [r \in Requests |->
       [state |-> "running", stage |-> 1, attempt |-> 1, next |-> 1]]
  /\ messages = {}
  /\ taken = [r \in Requests |-> <<>>]

\* An upstream sends an item or the end of a stage, from the position asked for.
\* Messages stay in the set, so each may arrive again and in any order.
Send(r, kind, position) ==
  /\ request[r].state = "running"
  /\ position >= IF kind = "item" THEN request[r].next ELSE 0
  /\ messages' = messages \cup
       {[request |-> r, stage |-> request[r].stage, kind |-> kind, position |-> position]}
  /\ UNCHANGED <<request, taken>>

Retry(r) ==
  /\ request[r].state = "running"
  /\ request[r].attempt < MaxAttempts
  /\ request' = [request EXCEPT ![r].attempt = @ + 1]
  /\ UNCHANGED <<messages, taken>>

Refuse(r) ==
  /\ request[r].state = "running"
  /\ request' = [request EXCEPT ![r].state = "refused"]
  /\ UNCHANGED <<messages, taken>>

Accepts(r, m) ==
  /\ request[r].state = "running"
  /\ CheckRequest => m.request = r
  /\ CheckStage => m.stage = request[r].stage

TakeItem(r, m) ==
  /\ m.kind = "item"
  /\ Accepts(r, m)
  /\ CheckPosition => m.position = request[r].next
  /\ Len(taken[r]) < Stages * Length + 1
  /\ taken' = [taken EXCEPT ![r] = Append(@, m)]
  /\ request' = [request EXCEPT ![r].next = @ + 1]
  /\ UNCHANGED messages

TakeEnd(r, m) ==
  /\ m.kind = "end"
  /\ Accepts(r, m)
  /\ CheckCount => request[r].next = m.position + 1
  /\ request' = [request EXCEPT ![r] =
       IF @.stage = Stages THEN [@ EXCEPT !.state = "answered"]
       ELSE [@ EXCEPT !.stage = @ + 1, !.next = 1, !.attempt = 1]]
  /\ UNCHANGED <<messages, taken>>

Next ==
  \/ \E r \in Requests :
       \/ Retry(r) \/ Refuse(r)
       \/ \E i \in Items : Send(r, "item", i)
       \/ Send(r, "end", Length)
       \/ \E m \in messages : TakeItem(r, m) \/ TakeEnd(r, m)

Spec == Init /\ [][Next]_vars

Own == \A r \in Requests : \A i \in DOMAIN taken[r] : taken[r][i].request = r

ExactlyOnce == \A r \in Requests : \A i, j \in DOMAIN taken[r] :
  i # j => taken[r][i] # taken[r][j]

WholeOrRefused == \A r \in Requests : request[r].state = "answered" =>
  /\ Cardinality(DOMAIN taken[r]) = Stages * Length
  /\ \A i \in DOMAIN taken[r] :
       /\ taken[r][i].position = ((i - 1) % Length) + 1
       /\ taken[r][i].stage = ((i - 1) \div Length) + 1
=============================================================================
