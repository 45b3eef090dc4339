Feature: Customers are identified by their keys

  # -- the decision alone

  Scenario Outline: A key identifies its customer
    Given a configuration with these customers
      | name   | keys             | priority |
      | acme   | acme-1, acme-2   | 2        |
      | zenith | zenith-1, acme-1 |          |
      | empty  |                  | 0        |
    When a caller with keys <keys> calls a <route> route
    Then the caller is <caller> with urgency <urgency>

    Examples:
      | keys             | route   | caller                         | urgency |
      | acme-1           | private | acme                           | 2       |
      | acme-2           | private | acme                           | 2       |
      | zenith-1         | private | zenith                         | none    |
      | zenith-1         | public  | zenith                         | none    |
      | none             | private | refused: no key                | none    |
      | an empty one     | private | refused: no key                | none    |
      | none             | public  | public                         | none    |
      | acme-3           | private | refused: not known             | none    |
      | acme-3           | public  | public                         | none    |
      | ACME-1           | private | refused: not known             | none    |
      | acme-1, acme-1   | private | acme                           | 2       |
      | acme-1, zenith-1 | private | refused: more than one key     | none    |
      | bytes            | private | refused: not known             | none    |

  Scenario Outline: Without customers in the configuration nothing is checked
    Given a configuration with these customers
      | name | keys | priority |
    When a caller with keys <keys> calls a <route> route
    Then the caller is not identified

    Examples:
      | keys   | route   |
      | none   | private |
      | acme-1 | private |
      | acme-1 | public  |

  Scenario Outline: Replicas get the customer's name and never the key
    When a replica request is built for customer <customer> with urgency <urgency> from <headers>
    Then it has the headers <result>

    Examples:
      | customer | urgency | headers                               | result                          |
      | acme     | none    | x-api-key:k x-tenant:evil x-model:m   | x-tenant:acme x-model:m         |
      | acme     | 0       | x-tenant:evil x-urgency-class:7       | x-tenant:acme x-urgency-class:0 |
      | acme     | none    | x-urgency-class:7                     | x-tenant:acme x-urgency-class:7 |
      | acme     | none    | x-tenant:a x-tenant:b                 | x-tenant:acme                   |
      | public   | none    | x-api-key:k x-tenant:evil x-model:m   | x-model:m                       |
      | none     | none    | x-api-key:k x-tenant:evil x-model:m   | x-api-key:k x-tenant:evil x-model:m |

  Scenario Outline: A job belongs to the customer that submitted it
    Then a caller <caller> <may> a job of <owner>

    Examples:
      | caller | may         | owner    |
      | acme   | may read    | acme     |
      | acme   | may not read | zenith  |
      | acme   | may read    | nobody   |
      | public | may not read | acme    |
      | public | may read    | nobody   |
      | none   | may read    | acme     |

  Scenario: A job that the previous release stored belongs to nobody
    Then a stored job without a customer can be read by every known key

  Scenario Outline: The customers of a configuration are decoded
    When customers <tenants> are decoded
    Then the decoded customers are <customers>

    Examples:
      | tenants                                                          | customers    |
      | absent                                                           | none         |
      | []                                                               | none         |
      | [{"name": "a", "api_keys": ["k"]}]                               | a:k:None     |
      | [{"name": "a", "api_keys": ["k", ""], "priority": 0}]            | a:k:0        |
      | [{"name": "a", "api_keys": ["k"], "priority": 40}]               | a:k:9        |
      | [{"name": "a", "api_keys": ["k"], "priority": -1, "colour": 1}]  | a:k:0        |
      | [{"name": "", "api_keys": ["k"]}, {"name": "b", "api_keys": []}] | b::None      |
      | [{"name": "a\r\nb", "api_keys": ["k"]}]                          | none         |
      | [{"name": "a", "api_keys": "k"}]                                 | not accepted |
      | [{"name": "a", "api_keys": [7]}]                                 | not accepted |
      | {}                                                               | not accepted |

  Scenario Outline: A customer's priority decides whose items go first
    Given a configuration with these customers
      | name   | keys | priority |
      | first  | k1   | 0        |
      | third  | k3   | 3        |
      | last   | k9   | 9        |
      | plain  | k    |          |
    When items <items> wait
    Then they are sent in the order <order>

    # An item is CUSTOMER/DUE-MS, followed by ! if its group is not needed.
    Examples:
      | items                         | order                         | why                         |
      | plain/2 plain/1 nobody/3      | plain/1 plain/2 nobody/3      | all alike: the older first  |
      | plain/1 third/2 first/3       | first/3 third/2 plain/1       | priority before age         |
      | last/1 plain/2 nobody/3       | plain/2 nobody/3 last/1       | none counts as 5            |
      | first/1! last/2               | last/2 first/1!               | surplus delays nobody       |
      | first/1! plain/2 third/3!     | plain/2 first/1! third/3!     | priority among the surplus  |

  Scenario Outline: No key is logged when a configuration is read
    When customers <tenants> are decoded
    And a directory of them is built
    Then the log has <text> and no key

    Examples:
      | tenants                                                                                                | text             |
      | [{"name": "a", "api_keys": "secret-1"}]                                                                | cannot be decoded |
      | [{"name": 7, "api_keys": ["secret-1"]}]                                                                | cannot be decoded |
      | {"secret-1": {"name": "a", "api_keys": ["secret-1"]}}                                                  | cannot be decoded |
      | ["secret-1"]                                                                                           | cannot be decoded |
      | [{"name": "", "api_keys": ["secret-1"]}]                                                               | bad name         |
      | [{"name": "a", "api_keys": ["secret-1"], "priority": 77}]                                              | not within 0 to 9 |
      | [{"name": "a", "api_keys": ["secret-1"]}, {"name": "b", "api_keys": ["secret-1", "secret-2"]}]         | the same key     |

  Scenario Outline: Metrics by customer are bounded
    When <count> customers send 1 request each, "busy" sends 30 and <later> others send 9 a minute later
    Then the metrics have at most <series> series of customer requests
    And "busy" has a series of its own
    And no request is counted twice

    Examples:
      | count | later | series |
      | 3     | 0     | 4      |
      | 19    | 0     | 20     |
      | 50    | 0     | 21     |
      | 10000 | 0     | 21     |
      | 50    | 10    | 21     |

  Scenario: The busiest customers replace those that have become quiet
    When 30 customers send 9 requests each and 25 others send 9 a minute later
    Then only the later ones have a series of their own

  Scenario: The directory is rebuilt only when the customers differ
    Given a configuration with these customers
      | name | keys   | priority |
      | acme | acme-1 |          |
    Then a new version with the same customers keeps the directory
    And a new version with a key added builds another one

  Scenario: A message of the previous release to relay a request can be decoded
    Then a relayed request without a customer decodes to one that passes its headers

  Scenario: A daemon of the previous release on a detour passes the customer's name
    Given headers x-api-key:acme-1 x-tenant:evil x-model:m that a daemon received for customer acme with urgency 2
    When a daemon that knows no customers builds the replica request
    Then it has the headers x-tenant:acme x-urgency-class:2 x-model:m

  Scenario Outline: A request sent by way of another daemon carries the same customer
    Given 4 daemons before 2 replicas, for <kind> requests
    And their requests carry a key, are forged and belong to acme with urgency 2
    When 20 requests a second arrive at each daemon for 1 s
    And 2 of them are cut from all replicas: <how>
    And 20 requests a second arrive at each daemon for 2 s
    Then requests were sent by way of another daemon
    And every run had customer acme, urgency 2 and no key

    Examples:
      | kind           | how      |
      | idempotent     | silently |
      | non_idempotent | reset    |
      | stream         | silently |

  # -- over a daemon

  Scenario Outline: A request of another daemon reaches the replica as its customer
    Given a platform with 1 plain replicas and 1 daemons
    When another daemon lets edge-1 send request "q1" of customer <sent>
    Then replicas saw <customer> with urgency <urgency>
    And no key reached a replica

    Examples:
      | sent     | customer | urgency |
      | acme/2   | acme     | 2       |
      | acme     | acme     | none    |
      | public   | public   | none    |

  Scenario Outline: Requests with and without a key
    Given a platform with 1 plain replicas and 1 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    And route booking is public
    When <method> <path> is sent to edge-1 with headers <headers>
    Then it is answered with <status>
    And replicas saw <customer> with urgency <urgency>
    And no key reached a replica

    Examples:
      | method | path       | headers                                     | status | customer | urgency |
      | POST   | /lookup/1  | X-Api-Key=acme-1                            | 200    | acme     | none    |
      | POST   | /lookup/1  | X-Api-Key=acme-2,X-Tenant=zenith            | 200    | acme     | none    |
      | GET    | /lookup/1  | X-Api-Key=zenith-1,X-Urgency-Class=0        | 200    | zenith   | 3       |
      | POST   | /lookup/1  | X-Api-Key=forged                            | 401    | nothing  | none    |
      | POST   | /lookup/1  | X-Tenant=acme                               | 401    | nothing  | none    |
      | POST   | /booking/1 | X-Tenant=acme                               | 200    | public   | none    |
      | POST   | /booking/1 | X-Api-Key=forged,X-Tenant=acme              | 200    | public   | none    |
      | POST   | /booking/1 | X-Api-Key=zenith-1                          | 200    | zenith   | 3       |
      | POST   | /nowhere/1 | X-Api-Key=forged                            | 404    | nothing  | none    |
      | GET    | /lots/j1   | X-Tenant=acme                               | 401    | nothing  | none    |
      | GET    | /lots/j1   | X-Api-Key=forged                            | 401    | nothing  | none    |
      | GET    | /lots/j1   | X-Api-Key=acme-1                            | 404    | nothing  | none    |
      | DELETE | /lots/j1   | X-Api-Key=forged                            | 401    | nothing  | none    |
      | GET    | /items/j1  | X-Api-Key=forged                            | 401    | nothing  | none    |

  Scenario: A daemon without a configuration refuses temporarily, whatever the key
    Given a platform without a configuration and 1 daemons
    When GET /lookup/1 is sent to edge-1 with headers X-Api-Key=forged
    Then it is answered with 503

  Scenario Outline: A request without a known key is refused before its body has arrived
    Given a platform with 1 plain replicas and 1 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    When a request for <path> with an unknown key and an unfinished body arrives at edge-1
    Then it is refused with 401 within 500 ms and its connection ends

    Examples:
      | path      |
      | /lookup/1 |
      | /jobs/j1  |

  Scenario: A client that waits for permission to send its body gets the refusal instead
    Given a platform with 1 plain replicas and 1 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    When a request with an unknown key and the header Expect arrives at edge-1
    Then it is refused with 401 within 500 ms and its connection ends
    And it is not asked for its body

  Scenario: Pipelined requests on one connection are checked one by one
    Given a platform with 1 plain replicas and 1 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    When requests with keys "acme-1 forged zenith-1 none acme-2" are pipelined to edge-1
    Then they are answered with "200 401 200 401 200" in this order
    And no key reached a replica

  Scenario: A request tried again at another replica carries the same customer
    Given a platform with 2 plain replicas and 1 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    And the plain replicas take 100 ms
    When replica plain-1 answers 3 requests under another's name
    And 8 lookups with key "zenith-1" are sent to edge-1 at once
    Then all are answered with 200
    And at least 9 requests "n" reached replicas as zenith with urgency 3
    And no key reached a replica

  Scenario: A hedged request carries the same customer
    Given a platform with 2 plain replicas and 1 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    And the plain replicas take 100 ms
    When replica plain-1 goes silent
    And 4 lookups with key "acme-1" are sent to edge-1 at once
    Then all are answered with 200
    And at least 5 requests "n" reached replicas as acme with urgency none
    And no key reached a replica

  Scenario: A stream resumed elsewhere carries the same customer
    Given a platform with 2 engines and 1 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    When clients send the key "zenith-1"
    And replica engine-1 breaks its streams after every 3 events
    And replica engine-2 breaks its streams after every 3 events
    And a chat stream "s1" is read with the key at edge-1
    Then at least 2 requests "s1" reached replicas as zenith with urgency 3
    And no key reached a replica

  Scenario Outline: Keys are rotated and removed while connections stay open
    Given a platform with 1 plain replicas and 2 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    When a connection to each daemon sends lookups with key "acme-1"
    And the platform's store <fault>
    And a new version gives acme the keys "acme-2 acme-3"
    Then within 3000 ms key "acme-1" is refused on these connections
    And lookups with key "acme-3" are served on them

    Examples:
      | fault                          |
      | works                          |
      | refuses all daemons but edge-1 |
      | refuses all daemons but edge-2 |

  Scenario: A running stream continues after its key was removed
    Given a platform with 1 engines and 1 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    And the engines send an event every 400 ms
    When a chat stream "s1" is read at edge-1 while key "acme-1" is removed
    Then the stream has all its events
    And the next request with key "acme-1" on its connection is refused

  # -- batch jobs

  Scenario: Items and reward calls run under the customer's name
    Given a platform with 2 engines and 2 daemons
    And 2 replicas score outputs
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    When clients send the key "zenith-1"
    And job "j1" whose items name customer acme and hold keys is submitted at edge-1
    Then job "j1" completes at edge-2
    And at least 4 requests "j1" reached replicas as zenith with urgency 3
    And at least 4 requests "reward-j1" reached replicas as zenith with urgency 3
    And no key reached a replica
    And no stored item holds a key

  Scenario Outline: Another customer's job looks like a job that does not exist
    Given a platform with 2 engines and 2 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    When clients send the key "acme-1"
    And job "j1" with 1 groups of 2 is submitted at edge-1
    Then the body of item "j1-0-0" of "j1" is read at <edge>
    When clients send the key "<key>"
    Then reading job "j1" at <edge> is answered with <read>
    And the answers at <edge> for job "j1" <comparison> those for a missing job
    And submitting job "j1" again at <edge> is answered with <submit>
    And the body of item "j1-0-0" is unchanged for key "acme-2" at <edge>
    And ending job "j1" at <edge> is answered with <end>

    Examples:
      | edge   | key      | read | comparison  | submit | end |
      | edge-1 | acme-2   | 200  | differ from | 202    | 200 |
      | edge-2 | acme-2   | 200  | differ from | 202    | 200 |
      | edge-1 | zenith-1 | 404  | equal       | 404    | 404 |
      | edge-2 | zenith-1 | 404  | equal       | 404    | 404 |
      | edge-1 | forged   | 401  | equal       | 401    | 401 |

  Scenario Outline: A submission of another customer's identifier leaves no trace
    Given a platform with 2 engines and 2 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    When clients send the key "acme-1"
    And job "j1" with 1 groups of 2 is submitted at the daemon that runs the jobs
    And clients send the key "zenith-1"
    Then submitting job "j1" again at <edge> is answered with 404
    And the body of item "j1-0-0" is unchanged for key "acme-2" at edge-1
    And the body of item "j1-0-0" is unchanged for key "acme-2" at edge-2

    Examples:
      | edge                              |
      | the daemon that runs the jobs     |
      | a daemon that does not run jobs   |

  Scenario: Items of a customer with a better priority go before older ones
    Given a platform with 1 engines and 1 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    And the engines send an event every 60 ms
    When clients send the key "acme-1"
    And job "j1" with 4 groups of 4 is submitted at edge-1
    And clients send the key "zenith-1"
    And job "j2" with 1 groups of 4 is submitted at edge-1
    Then job "j2" completes at edge-1
    When clients send the key "acme-1"
    Then job "j1" completes at edge-1
    And every item of "j2" was sent before the last 4 items of "j1"

  Scenario: A job whose key was removed goes on under its customer's name at another daemon
    Given a platform with 2 engines and 3 daemons
    And customers acme with keys "acme-1 acme-2" and zenith with key "zenith-1" and priority 3
    And the engines send an event every 60 ms
    When clients send the key "acme-1"
    And job "j1" with 6 groups of 4 is submitted at edge-1
    And 2 results of "j1" have been read at edge-2
    And clients send the key "acme-3"
    And a new version gives acme the keys "acme-3"
    And the daemon that runs the jobs is killed
    Then another daemon runs the jobs
    And job "j1" completes at a running daemon
    And at least 24 requests "j1" reached replicas as acme with urgency none
    And no key reached a replica
