"""Accept requests, choose an owner for each call and send the call to it."""
