Feature: An operator learns where a request would go, without sending it

  # Guards against an exclusion that is not named, or named with a wrong reason.
  Scenario Outline: What excludes a replica from requests
    Given a daemon that explains requests
    And listed r1,r2 in zone a
    When a listed r1 <fault>
    And it is asked where a request goes
    Then r1 is excluded as <reason> with <detail>, ending in <ends> s, of age <age> s
    And r2 is chosen of 1 candidates

    Examples:
      | fault                      | reason       | detail                        | ends | age  |
      | is draining                | draining     | none                          | none | none |
      | announced that it leaves   | leaving      | by its own response           | none | 0    |
      | failed twice               | suspended    | after 2 failures              | 0.6  | none |
      | refused a request          | busy         | it refused a request          | 1    | none |
      | has no permit for 2 s      | rate_limited | no permit left of 3 a second  | 2    | 0    |
      | has no permit at the owner | rate_limited | no permit left of 0.1 a second | none | 0   |
      | is ejected by a fact       | ejected      | by a fact of other daemons    | none | 0    |
      | is ejected by own evidence | ejected      | by this daemon's evidence     | 4    | none |

  # Guards against rules of jobs that the explanation does not know.
  Scenario Outline: What excludes a replica from items
    Given a daemon that runs the jobs and explains requests
    And listed r1,r2 in zone a
    When a listed r1 <fault>
    And it is asked where a item goes
    Then r1 is excluded as <reason> with <detail>, ending in none s, of age none s
    And r2 is chosen of 1 candidates

    Examples:
      | fault           | reason      | detail                       |
      | has old weights | old_weights | version 1, the job needs 2   |

  # Guards against an item that is said to go to a full or loading replica.
  Scenario Outline: An item does not go to a replica that cannot run it
    Given a daemon that runs the jobs and explains requests
    And listed r2,r3 in zone a
    When a listed r2 <fault>
    And it is asked where a item goes
    Then r3 is chosen of 1 candidates

    Examples:
      | fault         |
      | is full       |
      | loads weights |

  # Guards against a guess in place of the dispatcher's decision.
  Scenario: Only the dispatcher places items
    Given a daemon that explains requests while another one runs the jobs
    And listed r1,r2,r3 in zone a
    When it is asked where a item goes
    Then nothing is chosen of 2 candidates
    And it names v2 as the dispatcher

  Scenario Outline: A lost path excludes all replicas
    Given a daemon that runs the jobs and explains requests
    And listed r2 in zone a
    When a listed r2 is cut off with all others
    And it is asked where a <kind> goes
    Then nothing is chosen of 0 candidates

    Examples:
      | kind    |
      | request |
      | item    |

  # Guards against an explanation that differs from the decision.
  Scenario Outline: The chosen replica is that of the decision
    Given a daemon that explains requests
    Then it names the choice of choose_replica for 200 services of <count>

    Examples:
      | count |
      | 1     |
      | 3     |
      | 30    |
      | 200   |

  Scenario Outline: The chosen replica of an item is that of the dispatcher
    Given a daemon that runs the jobs and explains requests
    Then it names the choice of the dispatcher for 100 services of <count>

    Examples:
      | count |
      | 3     |
      | 100   |

  # Guards against a question that takes a permit, moves a share or counts as a request.
  Scenario: Questions change nothing
    Given a daemon that explains requests
    Then no state has changed after 30 questions about requests and items

  Scenario Outline: Questions with bad input
    Given a daemon that explains requests
    When it is asked with <query>
    Then the outcome begins with <code> and contains <text>

    Examples:
      | query                                    | code            | text           |
      | host=h&path=/plain/x                     | ok              | nothing        |
      | host=h&path=/plain/x&customer=acme       | ok              | nothing        |
      | path=/plain/x                            | invalid_request | host           |
      | host=h                                   | invalid_request | slash          |
      | host=h&path=plain                        | invalid_request | slash          |
      | host=h&host=g&path=/                     | invalid_request | twice          |
      | host=h&path=/&speed=1                    | invalid_request | 'speed'        |
      | host=h&path=/LONG                        | invalid_request | longer         |
      | host=h&path=/&method=get                 | invalid_request | method         |
      | host=h&path=/&model=m&min_version=-1     | invalid_request | min_version    |
      | host=h&path=/&model=m&min_version=1e3    | invalid_request | min_version    |
      | host=h&path=/&min_version=1              | invalid_request | without model  |
      | host=h&path=/plain/x&model=m             | invalid_request | routes of jobs |
      | host=h&path=/plain/x&customer=other      | invalid_request | no customer    |
      | host=h&path=/plain/x&customer=key-of-acme | invalid_request | no customer   |

  Scenario Outline: Explanations are bounded in number
    When questions arrive every <pause> ms for 3 s
    Then <count> are answered, at most 5 within any second

    Examples:
      | pause | count |
      | 10    | 15    |
      | 250   | 12    |

  # Guards against answers that grow with the fleet; docs/operators/where.md has times.
  Scenario: An explanation lists a bounded number of replicas of a large fleet
    Given a daemon that explains requests
    Then a question about 6600 replicas lists the best and counts the rest

  Scenario Outline: Exit codes of the command
    Given a daemon that explains requests
    And listed r1,r2 in zone a
    When the where command runs with <arguments> while <case>
    Then where exits with <code> and prints <text>

    Examples:
      | arguments                                      | case                    | code | text                         |
      | --host h --path /plain/x                       | all is well             | 0    | chosen now: r1               |
      | --host h --path /plain/x --customer acme       | all is well             | 0    | customer acme, rank 2        |
      | --host h --path /jobs/x --model m --min-version 2 | all is well          | 0    | the job needs 2              |
      | --host h --path /plain/x                       | all replicas failed     | 3    | 2 rate_limited               |
      | --host h --path /empty/x                       | all is well             | 3    | no replica of none is listed |
      | --host h --path /plain/x                       | it has no configuration | 3    | not_ready                    |
      | --host h --path /other                         | all is well             | 4    | no route matches             |
      | --host h --path /plain/x                       | nothing listens         | 5    | does not answer              |
      | --host h --path /plain/x                       | it has no such path     | 5    | http_404                     |
      | --host h --path plain                          | all is well             | 2    | slash                        |
      | --host h --path /plain/x                       | its address is wrong    | 2    | HOST:PORT                    |
      | --host h --path /jobs/x --model m              | all is well             | 2    | given together               |
      | --host h --path /plain/x --customer key-of-acme | all is well            | 2    | no customer of that name     |
      | --host h --path /plain/x                       | it is asked too often   | 7    | overloaded                   |

  # Guards against another daemon's view that is printed as the dispatcher's decision.
  Scenario Outline: The command asks the dispatcher for an item
    Given a daemon that explains requests while another one runs the jobs
    And listed r1,r2 in zone a
    When the where command asks for an item while <case>
    Then where exits with 0 and prints <text>

    Examples:
      | case                             | text                           |
      | the dispatcher answers           | chosen now: r9                 |
      | the dispatcher does not answer   | only the dispatcher v2 knows   |
      | another daemon has its address   | is v3                          |

  Scenario: The raw answer
    Given a daemon that explains requests
    And listed r1,r2 in zone a
    When the where command runs with --host h --path /plain/x --json while all is well
    Then its JSON names r1 as chosen

  # Guards against parts that are not connected in the daemon.
  Scenario Outline: A live daemon explains
    Given a platform with <replicas> and 1 daemons
    When edge-1 is asked on the stand-ins where <path> goes
    Then the answer names one of 2 candidates, and no replica got a request

    Examples:
      | replicas         | path      |
      | 2 plain replicas | /lookup/x |
      | 2 engines        | /jobs/x   |
