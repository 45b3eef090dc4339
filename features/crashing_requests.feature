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
