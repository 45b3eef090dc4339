Feature: Settings are validated as a whole before they are accepted

  Scenario Outline: A fault in a team's settings is reported with its path
    When the settings of team quetzal are <document>
    Then settings are refused with "<part>"

    Examples:
      | document                                        | part                                                                             |
      | {"budget": {"tokens_per_perid": 5}}             | /teams/quetzal/budget/tokens_per_perid: unknown key; did you mean 'tokens_per_period'? |
      | {"budget": {"tokens_per_period": -5}}           | /teams/quetzal/budget/tokens_per_period: -5 is not between 0 and 1e+15           |
      | {"budget": {"tokens_per_period": 1e40}}         | /teams/quetzal/budget/tokens_per_period: Expected 'int', got 'float'             |
      | {"budget": {"period_s": "day"}}                 | /teams/quetzal/budget/period_s: Expected 'float', got 'str'                      |
      | {"budget": {"warn_ratio": 80}}                  | /teams/quetzal/budget/warn_ratio: 80 is not between 0 and 1                      |
      | {"weight": NaN}                                 | /teams/quetzal/weight: a finite number is expected                               |
      | {"weight": true}                                | /teams/quetzal/weight: Expected 'float', got 'bool'                              |
      | {"token_hashes": ["secret"]}                    | /teams/quetzal/token_hashes/0: sha256: and 64 hexadecimal digits                 |
      | {"team": "kestrel"}                             | /teams/quetzal/team: 'kestrel' does not match the path                           |
      | {"policies": [{"model": "m"}]}                  | /teams/quetzal/policies/0/model: 'm' is not listed in /teams/quetzal/models      |
      | {"policies": [{"max_staleness_versions": 1}]}   | /teams/quetzal/policies/0/model: this key is required                            |
      | {"models": ["a", "a"]}                          | /teams/quetzal/models: 'a' is listed 2 times                                     |
      | {"weight": 1, /* twice */ "weight": 2}          | the key 'weight' stands twice in one object; it stands at line 1 column 2, line 1 column 27 |
      | {"weight": 1                                    | line 1 column                                                                    |
      | [1]                                             | /teams/quetzal: an object is expected, not an array                              |
      | null                                            | /teams/quetzal: an object is expected, not null                                  |

  Scenario Outline: A fault in the fleet's settings is reported with its path
    When the fleet's settings have <change>
    Then settings are refused with "<part>"

    Examples:
      | change                                   | part                                                               |
      | {"shard_count": 0}                       | /fleet/shard_count: 0 is not between 1 and 65536                   |
      | {"services": [], "models": []}           | /fleet/endpoints/0/name: 'summariser' is not listed in /fleet/models |
      | {"models": [{"name": "summariser"}, {"name": "summariser"}]} | /fleet/models: 'summariser' is listed 2 times   |
      | {"routing": {"ejection_s": 0}}           | /fleet/routing/ejection_s: 0 is not between 0.001 and              |
      | {"rollouts": {"hedge_waste": 0.1}}       | /fleet/rollouts/hedge_waste: unknown key; did you mean 'hedge_waste_ratio'? |
      | {"endpoints": [{"endpoint_id": "e", "kind": "engin", "name": "m", "adapter": "openai", "url": "ftp://x", "availability_zone": "a"}]} | /fleet/endpoints/0/kind: one of engine, service is expected; did you mean 'engine'?; /fleet/endpoints/0/url: a URL such as |

  Scenario: All faults of a document are reported at once
    When the settings of team quetzal are {"weigth": 1, "weight": -1, "policies": [{"model": "m"}], "models": 3}
    Then settings are refused with "/teams/quetzal/weigth: unknown key"
    And settings are refused with "/teams/quetzal/weight: -1 is not between"
    And settings are refused with "/teams/quetzal/models: Expected 'array', got 'int'"
    And settings are refused with "/teams/quetzal/policies/0/model: 'm' is not listed"

  Scenario: Comments and trailing commas are accepted
    When the settings of team quetzal are {"weight": 2, /* by the board */}
    Then team quetzal gets the weight 2

  Scenario Outline: A daemon's settings file is validated
    When a settings file of a daemon contains <text>
    Then settings are refused with "<part>"

    Examples:
      | text                                                                                                  | part                                   |
      | {"vm_id": "v1"}                                                                                       | /availability_zone: this key is required |
      | {"vm_id": "v1", "availability_zone": "a", "cell": "c", "platform_url": "http://p", "roles": ["keper"]} | /roles/0: one of lead, keeper, owner, entry |
      | {"vm_id": "v1", "availability_zone": "a", "cell": "c", "platform_url": "http://p", "peer": {"host": "here", "port": 70000}} | /peer/host: 'here' is no IP number; /peer/port: 70000 is not between |

  Scenario Outline: Only a higher version is applied
    Given settings of version <known> are applied
    When settings of version <offered> are offered
    Then the applied settings have version <result>

    Examples:
      | known | offered | result |
      | 0     | 1       | 1      |
      | 3     | 4       | 4      |
      | 3     | 9       | 9      |
      | 3     | 3       | 3      |
      | 3     | 2       | 3      |

  Scenario: Invalid settings written directly to the platform are not applied
    Given settings of version 3 are applied
    When invalid settings of version 4 are offered
    Then the applied settings have version 3

  Scenario Outline: A bearer token identifies one team or the operators
    When a request has the header "<header>"
    Then the authentication result is <principal>

    Examples:
      | header                      | principal    |
      | Bearer ggt_operator-token   | operator     |
      | bearer ggt_quetzal-token    | quetzal      |
      | Bearer ggt_kestrel-token    | kestrel      |
      | Bearer ggt_other-token      | unauthorized |
      | Basic ggt_quetzal-token     | unauthorized |
      | Bearer                      | unauthorized |

  Scenario Outline: The history is limited in count and size
    When a subtree of <size> bytes is changed <changes> times
    Then the history has <kept> earlier versions and the object is under 1 MB

    Examples:
      | size   | changes | kept |
      | 100    | 5       | 4    |
      | 100    | 50      | 20   |
      | 100000 | 10      | 2    |
      | 600000 | 3       | 0    |
