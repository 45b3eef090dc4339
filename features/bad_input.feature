Feature: Running daemons refuse invalid requests with a coded error and no effect

  Scenario Outline: An invalid request is refused with a reason
    Given running daemons for invalid requests
    When the client <sender> sends the request <call>
    Then the daemon answers <status> <code> with a reason containing "<part>"
    And the invalid request has changed and run nothing

    Examples: malformed
      | sender  | call                                                                  | status | code             | part |
      | quetzal | POST /v1/completions {"model": "summary", "prompt": "p"               | 400    | invalid_document | line 1 column |
      | quetzal | POST /v1/completions {"model": "summary", "model": "x", "prompt": "p"} | 400   | invalid_document | 'model' stands twice |
      | quetzal | POST /v1/completions {"model": "summary", "promt": "p"}               | 400    | invalid_document | /promt: unknown key; did you mean 'prompt'? |
      | quetzal | POST /v1/completions {"model": "summary", "prompt": 5}                | 400    | invalid_document | /prompt: Expected 'str' |
      | quetzal | POST /v1/completions []                                               | 400    | invalid_document | an object is expected |
      | quetzal | POST /v1/chat/completions {"model": "summary", "messages": [{"role": "user"}]} | 400 | invalid_document | /messages/0/content: this key is required |
      | quetzal | POST /v1/jobs/routes/steps/1 {"model": "summary"}                     | 400    | invalid_document | /groups: this key is required |
      | operator | PUT /v1/settings/teams/quetzal {"weight": 1,}                         | 400    | invalid_document | line 1 column |
      | quetzal | PUT /v1/settings/teams/quetzal {"policies": [{"model": 5}]}            | 400    | invalid_settings | /teams/quetzal/policies/0/model |

    Examples: unknown names
      | sender   | call                                                                 | status | code      | part |
      | quetzal  | POST /v1/completions {"model": "sumary", "prompt": "p"}              | 404    | not_found | sumary |
      | quetzal  | GET /services/boking/status/7                                        | 403    | forbidden | boking |
      | quetzal  | GET /v1/nothing                                                      | 404    | not_found | /v1/nothing |
      | quetzal  | GET /v1/jobs/none                                                    | 404    | not_found | none |
      | operator | GET /v1/settings/teams/nobody                                        | 404    | not_found | /teams/nobody |
      | operator | GET /v1/traces/nothing                                               | 404    | not_found | nothing |
      | quetzal  | GET /services/booking/../control/log                                 | 400    | invalid_request | path |
      | quetzal  | GET /services/booking/x/%2e%2E/control/log                           | 400    | invalid_request | path |
      | quetzal  | DELETE /v1/completions                                               | 405    | invalid_request | DELETE |
      | quetzal  | POST /v1/jobs/routes/steps/one {"model": "summary", "trainer_version": 1, "groups": [{"group_id": 0, "prompt": "p"}], "samples_per_group": 2, "max_tokens": 4} | 400 | invalid_request | number |

    Examples: numbers
      | sender  | call                                                                        | status | code             | part       |
      | quetzal | POST /v1/completions {"model": "summary", "prompt": "p", "max_tokens": -1}  | 400    | invalid_request  | max_tokens |
      | quetzal | POST /v1/completions {"model": "summary", "prompt": "p", "max_tokens": 1e300} | 400  | invalid_document | /max_tokens |
      | quetzal | POST /v1/completions {"model": "summary", "prompt": "p", "max_tokens": 99999999999999999999} | 400 | invalid_document | /max_tokens |
      | quetzal | POST /v1/completions {"model": "summary", "prompt": "p", "timeout_s": NaN}  | 400    | invalid_document | NaN |
      | quetzal | POST /v1/completions {"model": "summary", "prompt": "p", "timeout_s": -1}   | 400    | invalid_request  | timeout_s |
      | quetzal | POST /v1/completions {"model": "summary", "prompt": "p", "priority": 1000}  | 400    | invalid_request  | priority |
      | quetzal | POST /v1/jobs/routes/steps/1 {"model": "summary", "trainer_version": -1, "groups": [{"group_id": 0, "prompt": "p"}], "samples_per_group": 2, "max_tokens": 4} | 400 | invalid_request | trainer_version |
      | quetzal | POST /v1/jobs/routes/steps/1 {"model": "summary", "trainer_version": 1, "groups": [{"group_id": 0, "prompt": "p"}], "samples_per_group": 1000000, "max_tokens": 4} | 400 | invalid_request | samples_per_group |
      | quetzal | POST /v1/jobs/routes/steps/1 {"model": "summary", "trainer_version": 1, "groups": [], "samples_per_group": 2, "max_tokens": 4} | 400 | invalid_request | groups |
      | quetzal | POST /v1/jobs/routes/steps/1 {"model": "summary", "trainer_version": 1, "groups": [{"group_id": 0, "prompt": "p"}, {"group_id": 0, "prompt": "p"}], "samples_per_group": 2, "max_tokens": 4} | 400 | invalid_request | twice |
      | operator | PUT /v1/settings/teams/quetzal {"budget": {"tokens_per_period": -1}}        | 400    | invalid_settings | /teams/quetzal/budget/tokens_per_period |

    Examples: tokens and teams
      | sender      | call                                                        | status | code         | part |
      | nobody      | POST /v1/completions {"model": "summary", "prompt": "p"}     | 401    | unauthorized | Authorization |
      | stranger    | POST /v1/completions {"model": "summary", "prompt": "p"}     | 401    | unauthorized | not known |
      | stranger    | GET /services/booking/status/7                              | 401    | unauthorized | not known |
      | nobody      | GET /v1/status                                              | 401    | unauthorized | Authorization |
      | kestrelmoor | PUT /v1/settings/teams/quetzal {}                           | 403    | forbidden    | quetzal |
      | kestrelmoor | GET /v1/settings/teams/quetzal                              | 403    | forbidden    | quetzal |
      | kestrelmoor | PUT /v1/settings/fleet {}                                   | 403    | forbidden    | operators |
      | kestrelmoor | GET /v1/endpoints                                           | 403    | forbidden    | operators |

  Scenario Outline: A malformed, truncated or slow request has no effect
    Given running daemons for invalid requests
    When a client sends a request with <fault>
    Then the daemon answers <status> <code> with a reason containing "<part>"
    And the invalid request has changed and run nothing

    Examples:
      | fault                               | status | code              | part  |
      | an oversized body                   | 413    | request_too_large | bytes |
      | deep nesting                        | 400    | invalid_document  | deep  |
      | too many headers                    | 413    | request_too_large | headers |
      | a body that stalls                  | 408    | request_too_slow  | paused |
      | a body cut off by a half-close      | 400    | invalid_request   | ended |
      | a head cut off by a half-close      | 400    | invalid_request   | ended |
      | a booking with a line break in its path | 404 | not_found        | booking |
      | a bad request identifier            | 400    | invalid_request   | X-Request-Id |

  Scenario Outline: A service receives the path as the caller sent it
    Given running daemons for invalid requests
    When the client quetzal sends the request GET /services/booking/status/<sent>
    Then the service received box <box>

    Examples:
      | sent       | box   |
      | 7          | 7     |
      | a%20b      | a b   |
      | 7%3Fx=1    | 7?x=1 |
      | 7%23x      | 7#x   |
      | %C3%A9     | é     |
      | 50%25      | 50%   |

  Scenario: A valid request succeeds after all the invalid ones
    Given running daemons for invalid requests
    When the client quetzal sends the request POST /v1/completions {"model": "summary", "prompt": "p", "max_tokens": 3}
    Then the valid request is answered
