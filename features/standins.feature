Feature: Stand-ins simulate the systems around greengagetack and their faults

  Scenario Outline: The platform stand-in writes only at the expected version
    Given the platform stand-in
    And an object of the stand-in at version 2
    When the stand-in gets a write with "<condition>"
    Then the stand-in answers <status>
    And the object of the stand-in is at version <version>

    Examples:
      | condition          | status | version |
      | If-Match: "2"      | 200    | 3       |
      | If-Match: "1"      | 412    | 2       |
      | If-Match: "3"      | 412    | 2       |
      | If-None-Match: *   | 412    | 2       |
      | X-Nothing: "named" | 428    | 2       |

  Scenario: A value over one megabyte is refused by the platform stand-in
    Given the platform stand-in
    When the stand-in gets a value of 1000001 bytes
    Then the stand-in answers 413

  Scenario Outline: The platform stand-in simulates two kinds of outage
    Given the platform stand-in
    And the faults {"outage": "<kind>"} of the platform stand-in
    Then a call to the platform stand-in <result>

    Examples:
      | kind   | result         |
      | refuse | is refused     |
      | hang   | gets no answer |

  Scenario: A write to the stand-in takes effect although its answer is lost
    Given the platform stand-in
    And the faults {"lose_write_answers": 1.0} of the platform stand-in
    When the stand-in loses the answer to a write with change "change-7"
    Then the object of the stand-in has the change "change-7"

  Scenario: A watch of the stand-in returns the change under its prefix
    Given the platform stand-in
    When a watch of the stand-in waits for "teams/a" while "teams/b" and "teams/a" change
    Then the watch of the stand-in shows only "teams/a"

  Scenario: A pending watch counts towards the rate limit of the stand-in
    Given the platform stand-in with "--reads-per-s 0.1"
    When a watch of the stand-in is pending
    Then a call to the platform stand-in is refused by rate

  Scenario: The VM list of the stand-in changes with a delay
    Given the platform stand-in with "--vm-lag-s 1"
    When the VM list of the stand-in changes from "a" to "b"
    Then the VM list of the stand-in shows "a" and some time later "b"

  Scenario: The weight store of the stand-in limits the rate of fetches
    Given the platform stand-in with "--weights-per-s 0.1"
    Then of two fetches of weights from the stand-in the second is refused

  Scenario Outline: A resumed stream of the stand-in generates no token twice
    Given the engine stand-in with "--decode-tokens-per-s 400"
    When a client closes a stream of 200 tokens after <left> and resumes from <from>
    Then the resumed stream starts at token <from> and the text is complete
    And the engine stand-in generated 200 tokens in all
    And the engine stand-in received the request 2 times

    Examples:
      | left | from |
      | 1    | 1    |
      | 40   | 40   |
      | 40   | 13   |
      | 200  | 199  |

  Scenario: An unknown request starts at token 0 at the engine stand-in
    Given the engine stand-in
    When a client resumes the unknown request "lost" from 9
    Then the resumed stream starts at token 0 and the text is complete

  Scenario Outline: The engine stand-in checks or ignores fencing numbers
    Given the engine stand-in with "--fencing <fencing> --activate-s 0"
    When the engine stand-in gets version 2 with number 5 and version 3 with number 4
    Then the engine stand-in answers <status> and serves version <version>

    Examples:
      | fencing | status | version |
      | checked | 409    | 2       |
      | ignored | 200    | 3       |

  Scenario: A failed activation leaves the stand-in at its previous version
    Given the engine stand-in with "--activate-s 0"
    And the faults {"fail_activate": 1} of the engine stand-in
    When the engine stand-in gets version 2 with number 1
    Then the engine stand-in answers 500 and serves version 1
    When the engine stand-in gets version 2 with number 1
    Then the engine stand-in answers 200 and serves version 2

  Scenario: A change of weights during a stream shows two versions
    Given the engine stand-in with "--decode-tokens-per-s 200 --activate-s 0.05"
    When the version changes to 2 in the middle of a stream of 200 tokens
    Then the stream of the stand-in names the versions 1 and 2 in this order

  Scenario: The engine stand-in runs higher priorities first
    Given the engine stand-in with "--slots 1 --decode-tokens-per-s 200"
    When requests wait at the stand-in with the priorities 1, 3, 2 and 3
    Then the stand-in ran the priorities 3, 3, 2 and 1 in this order

  Scenario: A cancelled request frees its slot at the stand-in
    Given the engine stand-in with "--slots 1"
    When a request of 100000 tokens holds the slot of the stand-in and is cancelled
    Then the next request of the stand-in runs

  Scenario Outline: The engine stand-in refuses requests without running them
    Given the engine stand-in
    And the faults <faults> of the engine stand-in
    Then a request to the engine stand-in is refused and was not run
    And the health of the engine stand-in is <health>

    Examples:
      | faults            | health |
      | {"refuse": true}  | 200    |
      | {"leaving": true} | 503    |

  Scenario: A stream of the stand-in stays silent while new streams work
    Given the engine stand-in with "--decode-tokens-per-s 400"
    When a stream of the stand-in goes silent
    Then a resumed stream of the stand-in is complete and the silent one stays silent

  Scenario: The engine stand-in crashes after a number of tokens
    Given the engine stand-in with "--decode-tokens-per-s 400"
    And the faults {"crash_after_tokens": 30} of the engine stand-in
    Then a stream of 200 tokens breaks off and the engine stand-in has ended

  Scenario: A cancelled request moves to another engine stand-in with its KV cache
    Given the engine stand-in with "--decode-tokens-per-s 100"
    And a second engine stand-in
    When a request of 100 tokens is cancelled at the first and moved to the second
    Then the two stand-ins generated 100 tokens in all and the text is complete

  Scenario: The stand-in caches a repeated prefix until other prefixes evict it
    Given the engine stand-in with "--cache-blocks 8 --cache-event-lag-s 0"
    Then prompts of the stand-in find these cached tokens
      | prompt  | words | cached |
      | repairs | 64    | 0      |
      | repairs | 64    | 64     |
      | trips   | 128   | 0      |
      | repairs | 64    | 0      |

  Scenario: Cache events of the stand-in are delayed and have gaps
    Given the engine stand-in with "--cache-event-lag-s 1 --cache-event-gap-share 0.5 --seed 7"
    When a prompt of 640 words is used at the stand-in
    Then its cache events become visible later and some are missing

  Scenario Outline: The booking stand-in logs the requests that it ran
    Given the service stand-in
    And the faults <faults> of the service stand-in
    When a booking is sent to the stand-in
    Then the booking stand-in <result> and ran it <runs> times

    Examples:
      | faults                | result         | runs |
      | {}                    | answers 201    | 1    |
      | {"refuse": true}      | says not run   | 0    |
      | {"lose_answers": 1.0} | gives no answer | 1   |

  Scenario: The scorer stand-in gives identical samples identical scores
    Given the scorer stand-in
    Then two identical samples and another get two different scores from the stand-in

  Scenario Outline: The relay cuts, freezes and delays connections
    Given a relay to an echo server with <latency_s> s latency
    When the relay gets the fault "<fault>"
    Then an open connection <open> and a new one echoes after <latency_s> s

    Examples:
      | latency_s | fault        | open         |
      | 0         | cut          | ends         |
      | 0         | freeze       | stays silent |
      | 0.1       | do nothing   | echoes       |

  Scenario: Closing a process group ends all its processes
    Given the engine stand-in
    And a second engine stand-in
    When the first is paused and the process group is closed
    Then no process of the group is running

  Scenario: A stand-in exits with code 0 on SIGTERM
    Given the engine stand-in
    When the stand-in is terminated with a stream open
    Then its exit code is 0

  # Loading takes the processor for so long that no other request is answered meanwhile.
  Scenario: A stand-in has loaded its libraries before its first request
    Given a platform without daemons
    When a plain replica answers its first request
    Then the request has loaded no library
