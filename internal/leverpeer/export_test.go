package leverpeer

// EncodeForTest writes a message.
var EncodeForTest = encode
