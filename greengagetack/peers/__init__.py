"""greengagetack.peers: message streams between the daemons."""
