Feature: Replicas that name a limit on the requests of all VMs together

  Scenario Outline: Callers' requests at all daemons together keep a replica's limit
    Given a platform with 1 plain replicas and 3 daemons
    When replica plain-1 names limit <limit>
    And <count> lookups a second are sent to all daemons for <duration> s
    Then at most <allowed> requests reached plain-1 within any 4 s
    And at least <served> lookups were answered with 200
    And every other lookup was answered with 503 within 400 ms and a Retry-After
    And the log of edge-1 names the rate limit as a reason

    Examples:
      | limit | count | duration | allowed | served |
      | 2     | 15    | 7        | 17      | 12     |
      | 0.5   | 15    | 6        | 8       | 3      |

  Scenario: Items keep the limit of their engines, and all of them complete
    Given a platform with 2 engines and 2 daemons
    When replica engine-1 names limit 1
    And replica engine-2 names limit 1
    And job "j1" with 7 groups of 4 is submitted at edge-1
    Then job "j1" completes at edge-2
    And at most 11 requests reached engine-1 within any 4 s
    And at most 11 requests reached engine-2 within any 4 s

  Scenario: Reward calls keep the limit of the services that score
    Given a platform with 2 engines and 2 daemons
    And 1 replicas score outputs
    When replica scorer-1 names limit 1
    And job "j1" with 4 groups of 4 and rewards is submitted at edge-1
    Then job "j1" completes at edge-2
    And at most 11 requests reached scorer-1 within any 4 s

  Scenario: A limit that ended at one daemon ends at all
    Given a platform with 1 plain replicas and 3 daemons
    When replica plain-1 names limit 1
    And 6 lookups a second are sent to all daemons for 3 s
    And replica plain-1 names no limit
    And 6 lookups a second are sent to all daemons for 3 s
    Then 10 lookups at edge-1 are all answered with 200
    And 10 lookups at edge-2 are all answered with 200
    And 10 lookups at edge-3 are all answered with 200

  Scenario Outline: The sum of all daemons keeps the limit, whatever their number
    Given <daemons> daemons that know of a limit of <limit> requests a second
    When <rate> requests a second arrive at them for 60 s, with <events>
    Then at most 1.5 times the limit and 5 requests are sent within any 4 s
    And at least <share> of what the limit allows is sent

    Examples:
      | daemons | limit | rate | events                  | share |
      | 1       | 4     | 20   | none                    | 0.9   |
      | 9       | 4     | 20   | none                    | 0.9   |
      | 72      | 4     | 20   | none                    | 0.9   |
      | 1700    | 4     | 40   | none                    | 0.9   |
      | 9       | 0.4   | 20   | none                    | 0.9   |
      | 9       | 0     | 20   | none                    | 0.0   |
      | 72      | 40    | 200  | none                    | 0.9   |
      | 72      | 40    | 20   | none                    | 0.45  |
      | 9       | 4     | 20   | owner dies each 10 s    | 0.6   |
      | 72      | 40    | 200  | owner dies each 10 s    | 0.6   |
      | 72      | 40    | 200  | owner is split each 10 s | 0.6  |
      | 1700    | 8     | 80   | owner is split each 10 s | 0.6  |

  Scenario Outline: When a refused caller should come back
    When all replicas have no permit for <waits> ms
    Then a refused caller is told to come back after <least> to <most> ms

    Examples:
      | waits    | least | most |
      | none     | 250   | 250  |
      | 0,400    | 250   | 250  |
      | 400,900  | 400   | 600  |
      | 10,900   | 50    | 50   |

  Scenario Outline: A published limit applies to the start of the replica that named it
    Given a daemon that lists <listed>
    When the owner publishes a limit of 2 for the start 1 of replica "r"
    And the daemon then lists <later>
    And the published limit <end>
    Then the daemon knows <limit> for replica "r"

    Examples:
      | listed  | later   | end       | limit    |
      | start 1 | start 1 | stays     | 2        |
      | nothing | start 1 | stays     | 2        |
      | nothing | start 2 | stays     | no limit |
      | start 1 | start 2 | stays     | no limit |
      | start 1 | start 1 | ends      | no limit |
