Feature: Callers' requests on the platform, among processes

  Scenario: A lookup is answered with its replica's bytes and mark
    Given a platform with 1 plain replicas and 1 daemons
    When lookup "r1" is sent to edge-1
    Then "r1" is answered with 200 and its replica's bytes

  Scenario Outline: A plain replica misbehaves
    Given a platform with 2 plain replicas and 1 daemons
    When replica plain-1 <fault>
    Then 10 lookups at edge-1 are all answered with 200

    Examples:
      | fault                                   |
      | goes silent                             |
      | answers 3 requests under another's name |
      | has another identifier now              |
      | refuses everything                      |

  Scenario: A booking whose replica breaks off is not sent again
    Given a platform with 2 plain replicas and 1 daemons
    When replica plain-1 goes silent
    And replica plain-2 goes silent
    And booking "b1" is sent to edge-1
    Then "b1" is answered with 504
    And "b1" reached the replicas 1 times

  Scenario: A booking that was refused unrun is sent to another replica
    Given a platform with 2 plain replicas and 1 daemons
    When replica plain-1 refuses everything
    Then 6 bookings at edge-1 are all answered with 200

  Scenario: What cannot be served is refused at once with a time to come back
    Given a platform with 1 plain replicas and 1 daemons
    When replica plain-1 refuses everything
    And lookup "r1" is sent to edge-1
    Then "r1" is answered with 503 within 400 ms and a time to come back
    And the log of edge-1 explains "r1" as "endpoint_refused"

  Scenario Outline: Requests without a route
    Given a platform with 1 plain replicas and 1 daemons
    When a request for <path> of host <host> is sent to edge-1
    Then it is answered with <status>

    Examples:
      | path      | host          | status |
      | /nowhere/ | kiosk.example | 404    |
      | /lookup/1 | other.example | 404    |
      | /lookup/1 | kiosk.example | 200    |

  Scenario: Before the first configuration nothing is denied
    Given a platform without a configuration and 1 daemons
    When lookup "r1" is sent to edge-1
    Then "r1" is answered with 503
    And edge-1 is not ready

  Scenario Outline: A configuration is in force at every daemon within its bound
    Given a platform with 1 plain replicas and 3 daemons
    When the platform's store <fault>
    And a configuration with route /new/ is written
    Then /new/ is served at every daemon within 2000 ms

    Examples:
      | fault                                 |
      | works                                 |
      | tells watches nothing                 |
      | refuses the daemon that runs the jobs |

  Scenario: A draining replica gets no new requests
    Given a platform with 2 plain replicas and 2 daemons
    When replica plain-1 is listed as draining
    Then after 500 ms no lookup reaches plain-1

  Scenario: Entries that cannot be read are passed over
    Given a platform with 1 plain replicas and 1 daemons
    When entries of replicas that cannot be read are written
    Then 3 lookups at edge-1 are all answered with 200

  Scenario: A client that leaves takes its request with it
    Given a platform with 1 plain replicas and 1 daemons
    And the plain replicas take 800 ms
    When a client sends lookup "r1" to edge-1 and leaves after 150 ms
    Then the run of "r1" is cut within 500 ms

  Scenario: A stopping daemon answers what it has read
    Given a platform with 1 plain replicas and 1 daemons
    And the plain replicas take 800 ms
    When lookup "r1" is under way at edge-1 and the daemon is asked to stop
    Then "r1" is answered with 200 and its replica's bytes
    And edge-1 is not ready
    And edge-1 ends with code 0

  Scenario: A stream that breaks goes on at another replica where that is allowed
    Given a platform with 2 engines and 1 daemons
    When replica engine-1 breaks each stream off after 2 events
    And replica engine-2 breaks each stream off after 3 events
    And a chat stream "s1" is read at edge-1
    Then stream "s1" is whole, each event once
    And "s1" was sent on from a later event

  Scenario: A stream that may not be resumed ends without looking whole
    Given a platform with 1 engines and 1 daemons
    When replica engine-1 breaks each stream off after 2 events
    And a plain stream "s1" is read at edge-1
    Then stream "s1" is cut after 2 whole events
    And "s1" reached the replicas 1 times

  Scenario: A caller that leaves its stream ends the run
    Given a platform with 1 engines and 1 daemons
    And the engines make an event each 100 ms
    When a client reads 2 events of chat stream "s1" at edge-1 and leaves
    Then the run of "s1" is cut within 700 ms
