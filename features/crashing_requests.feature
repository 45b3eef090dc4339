Feature: Requests that crash each replica that runs them

  Scenario Outline: A request that crashes its replicas stops reaching them, at any daemon
    Given a platform with 3 <replicas> and 3 daemons
    And the plain replicas take 50 ms
    When <kind> "poison" crashes each replica that runs it
    And <kind> "poison" is sent again and again to all daemons for 14 s
    Then "poison" reached replicas at most 3 times later than 3 s after the third crash
    And the last 5 of them were answered with 400 and code crashes_replicas within 400 ms
    And the reason names the crashes, and no Retry-After is sent

    Examples:
      | kind    | replicas       |
      | lookup  | plain replicas |
      | booking | plain replicas |
      | chat    | engines        |

  Scenario: Requests beside one that crashes its replicas are served
    Given a platform with 3 plain replicas and 3 daemons
    And the plain replicas take 50 ms
    When lookup "poison" crashes each replica that runs it
    And lookup "poison" is sent again and again to all daemons for 14 s, beside others
    Then no other lookup was answered with a final error
    And every other lookup was served that was sent later than 6 s after the third crash

  Scenario Outline: Connections that break without a crash never make a request final
    Given a platform with 2 plain replicas and 2 daemons
    When lookup "broken" <fault>
    And lookup "broken" is sent 12 times, 100 ms apart, to all daemons
    Then all 12 of them reached a replica
    And none of them was answered with 400

    Examples:
      | fault                                       |
      | has its connections reset by each replica   |

  Scenario: Items whose replicas crash are owed and complete
    Given a platform with 3 engines and 2 daemons
    And the engines send an event every 50 ms
    When chat "poison" crashes each replica that runs it
    And job "j1" with 4 groups of 4 is submitted at edge-1
    And chat "poison" is sent again and again to all daemons for 6 s
    Then job "j1" completes at edge-2
    And every result of "j1" is its item's complete output

  Scenario Outline: What was found out about a request outlives the daemons that found it out
    Given a platform with 3 plain replicas and 3 daemons
    And the plain replicas take 50 ms
    When lookup "poison" crashes each replica that runs it
    And lookup "poison" is sent again and again to all daemons for 6 s
    And <loss>
    And lookup "poison" is sent again and again to all daemons for 6 s
    Then "poison" reached replicas at most 3 times later than 3 s after the third crash
    And the last 5 of them were answered with 400 and code crashes_replicas within 400 ms

    Examples:
      | loss                                     |
      | all daemons are killed and started again |
      | the daemon that runs the jobs is killed  |

  Scenario Outline: Which requests are blocked as they crash their replicas
    Given no crash has been seen yet
    When these are seen: <events>
    Then <blocked> are blocked, and <suspects> may run alone only

    Examples:
      | events                                                       | blocked | suspects |
      | a at 1; a at 2; 1 ends; 2 ends                               | none   | a        |
      | a at 1; a at 2; a at 3; 1 ends; 2 ends; 3 ends               | a      | none     |
      | 1 ends; 2 ends; 3 ends; a at 1; a at 2; a at 3               | a      | none     |
      | a at 1; a at 2; a at 3; 1 ends; 2 ends                       | none   | a        |
      | a at 1; a at 2; a at 3; 1 ends; 2 ends; 3 leaves             | none   | a        |
      | a at 1; a at 2; a at 3                                       | none   | a        |
      | a at 1; a at 2; a at 3; 13 s pass                            | none   | none     |
      | a at 1; a is answered; a at 2; a at 3; 1 ends; 2 ends; 3 ends | none  | none     |
      | a,b at 1; a at 2; a,c at 3; 1 ends; 2 ends; 3 ends           | a      | none     |
      | a,b at 1; a,b at 2; a,b at 3; 1 ends; 2 ends; 3 ends         | none   | a,b      |
      | a,b at 1; a,b at 2; a,b at 3; 1 ends; 2 ends; 3 ends; b is answered | a | none   |
      | a,b at 1; a,b at 2; a,b at 3; 1 ends; 2 ends; 3 ends; a at 4; 4 ends | a | none  |
      | a at 1; a at 2; a at 3; 1 ends; 2 ends; 3 ends; b at 1; b at 2; b at 3 | a | none |
      | a at 1; a at 2; a at 3; 1 ends; 2 ends; 3 ends; 601 s pass   | none   | none     |

  Scenario: One caller that sends thousands of such requests
    Given no crash has been seen yet
    When these are seen: a at 1; a at 2; a at 3; 1 ends; 2 ends; 3 ends
    And 5000 other requests each break off at 3 replicas that end, 50 at a replica
    Then a is blocked, and at most 17000 requests are remembered

  Scenario Outline: All daemons obey a fact within seconds of its publication
    Given <daemons> daemons that ping the owner of the facts each second
    When the owner publishes <facts> facts within 1 s, and <event>
    Then every daemon knows all of them within <limit> s
    And no daemon gets more than 10 KB in a second

    Examples:
      | daemons | facts | event                         | limit |
      | 9       | 1     | nothing else happens          | 2     |
      | 1700    | 1     | nothing else happens          | 2     |
      | 1700    | 40    | nothing else happens          | 2     |
      | 72      | 1000  | nothing else happens          | 25    |
      | 72      | 40    | the owner dies 2 s later      | 4     |
      | 72      | 40    | the owner is replaced 2 s later | 4 |

  Scenario: Facts are forgotten in time, at every daemon
    Given 9 daemons that ping the owner of the facts each second
    When the owner publishes 20 facts within 1 s, and nothing else happens
    And 601 s pass without a ping
    Then no daemon knows any of them

  Scenario Outline: What an owner has saved and what its successor has seen since
    Given a saved fact that a request is <saved>
    When a new owner publishes that the request is <seen>, and loads what was saved
    Then all daemons know that the request is <known>

    Examples:
      | saved     | seen      | known     |
      | blocked   | nothing   | blocked   |
      | blocked   | suspected | blocked   |
      | suspected | blocked   | blocked   |
      | suspected | nothing   | suspected |
      | blocked   | answered  | nothing   |
