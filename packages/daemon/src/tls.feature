Feature: Callers, operators and boxes speak TLS where the settings name a certificate

  Scenario: Two boxes with a certificate
    Given two boxes as processes with a certificate
    Then they see each other over TLS, callers and operators reach them by https, and plain HTTP is refused
