Feature: Callers' requests on the platform, with real daemon processes

  Scenario: A lookup is answered with its replica's body and seal
    Given a platform with 1 plain replicas and 1 daemons
    When lookup "r1" is sent to edge-1
    Then "r1" is answered with 200 and its replica's body

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

  Scenario: A booking whose replica stops answering is not sent again
    Given a platform with 2 plain replicas and 1 daemons
    When replica plain-1 goes silent
    And replica plain-2 goes silent
    And booking "b1" is sent to edge-1
    Then "b1" is answered with 504
    And "b1" reached the replicas 1 times

  Scenario: A booking that a replica refused without running it is sent to another
    Given a platform with 2 plain replicas and 1 daemons
    When replica plain-1 refuses everything
    Then 6 bookings at edge-1 are all answered with 200

  Scenario: A request that cannot be served is refused at once with a Retry-After
    Given a platform with 1 plain replicas and 1 daemons
    When replica plain-1 refuses everything
    And lookup "r1" is sent to edge-1
    Then "r1" is answered with 503 within 400 ms and a Retry-After
    And the log of edge-1 shows "r1" with code "endpoint_refused"

  Scenario Outline: Requests without a route
    Given a platform with 1 plain replicas and 1 daemons
    When a request for <path> of host <host> is sent to edge-1
    Then it is answered with <status>

    Examples:
      | path      | host          | status |
      | /nowhere/ | kiosk.example | 404    |
      | /lookup/1 | other.example | 404    |
      | /lookup/1 | kiosk.example | 200    |

  Scenario: Before the first configuration requests get a temporary error
    Given a platform without a configuration and 1 daemons
    When lookup "r1" is sent to edge-1
    Then "r1" is answered with 503
    And edge-1 is not ready

  Scenario Outline: A new configuration takes effect at every daemon in time
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

  Scenario: Invalid replica entries are skipped
    Given a platform with 1 plain replicas and 1 daemons
    When invalid entries of replicas are written
    Then 3 lookups at edge-1 are all answered with 200

  Scenario: A client that disconnects cancels its request
    Given a platform with 1 plain replicas and 1 daemons
    And the plain replicas take 800 ms
    When a client sends lookup "r1" to edge-1 and disconnects after 150 ms
    Then the run of "r1" is cancelled within 500 ms

  Scenario: A stopping daemon answers the requests that it has received
    Given a platform with 1 plain replicas and 1 daemons
    And the plain replicas take 800 ms
    When lookup "r1" is in progress at edge-1 and the daemon is asked to stop
    Then "r1" is answered with 200 and its replica's body
    And edge-1 is not ready
    And edge-1 exits with code 0

  Scenario: A broken stream resumes at another replica where the route allows it
    Given a platform with 2 engines and 1 daemons
    When replica engine-1 breaks each stream off after 2 events
    And replica engine-2 breaks each stream off after 3 events
    And a chat stream "s1" is read at edge-1
    Then stream "s1" is complete, each event once
    And "s1" was resumed from a later event

  Scenario: A broken stream that may not be resumed is visibly incomplete
    Given a platform with 1 engines and 1 daemons
    When replica engine-1 breaks each stream off after 2 events
    And a plain stream "s1" is read at edge-1
    Then stream "s1" breaks after 2 complete events
    And "s1" reached the replicas 1 times

  Scenario: A caller that disconnects from its stream cancels the run
    Given a platform with 1 engines and 1 daemons
    And the engines send an event every 100 ms
    When a client reads 2 events of chat stream "s1" at edge-1 and disconnects
    Then the run of "s1" is cancelled within 700 ms
