"""standins: small fakes of the systems that greengagetack depends on."""
