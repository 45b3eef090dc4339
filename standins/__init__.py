"""standins: small stand-ins for the systems around greengagetack."""
