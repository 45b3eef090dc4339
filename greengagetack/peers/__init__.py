"""greengagetack.peers: links between daemons that carry requests and answers."""
