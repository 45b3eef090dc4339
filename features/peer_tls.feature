Feature: Peer links use mutual TLS if the settings name key files

  Scenario Outline: Only peers with a valid certificate of the authority are served
    Given a daemon that requires certificates from peers
    When a peer connects with <credentials>
    Then the peer is <result>

    Examples:
      | credentials                      | result  |
      | a certificate of the authority   | served  |
      | a certificate of another one     | refused |
      | an expired certificate           | refused |
      | no certificate                   | refused |
      | no TLS at all                    | refused |
      | TLS 1.2                          | refused |

  Scenario: A client refuses a server certificate of another authority
    Given a daemon that requires certificates from peers
    When a peer that trusts another authority connects
    Then the peer is refused

  Scenario Outline: Invalid TLS files are refused
    When peer TLS is configured with <files>
    Then the configuration is refused with bad_tls_files

    Examples:
      | files                    |
      | a missing file           |
      | a key of another daemon  |
